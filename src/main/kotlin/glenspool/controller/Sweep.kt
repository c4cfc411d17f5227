package glenspool.controller

import glenspool.logging.loggerOf
import glenspool.state.Keys
import glenspool.state.LiveKeys
import glenspool.state.Put
import glenspool.state.StateResult

/**
 * Removes what ended jobs, and submissions that were never accepted, left beside their records: every node reads the
 * live keys when it starts, so remains would make each start a little longer, for ever. There is no hurry, so it takes
 * one small transaction at a time.
 */
class Sweep(
    private val live: LiveKeys,
    private val txnOps: Int,
    private val transact: (Map<String, Long>, List<Put>, List<String>) -> StateResult<Long>,
) {
    private var seen: Set<String> = emptySet()

    /**
     * Looks once. What was without a record at the last look too goes: the parts of a submission are stored before its
     * record. A submission that is slower still is asked to come back, since its record is conditioned on its parts.
     */
    fun look(mark: Long) {
        val orphans =
            live.atOnce {
                prefixes.flatMap { live.under(it) }.map { it.key }.filter {
                    live.get(recordOf(it)) ==
                        null
                }
            }
        val due = orphans.filter { it in seen }.take(txnOps)
        seen = orphans.toHashSet()
        if (due.isEmpty()) return
        // A record that comes meanwhile keeps its parts.
        val conditions = due.map(::recordOf).distinct().associateWith { 0L } + (Keys.LEAD to mark)
        val r = transact(conditions, emptyList(), due)
        log.debug("swept keys={} -> {}", due, r)
    }

    private fun recordOf(key: String) =
        Keys
            .job(key.removePrefix(prefixes.first { key.startsWith(it) }).substringBeforeLast('/'))

    private companion object {
        val log = loggerOf(Sweep::class.java)
        val prefixes = listOf(Keys.CHUNK, Keys.SHELF, Keys.PIECE)
    }
}
