package glenspool.controller

import glenspool.logging.loggerOf
import glenspool.state.Keys
import glenspool.state.LiveKeyReader
import glenspool.state.Put
import glenspool.state.StoreResult

/**
 * Removes what ended jobs, and submissions that were never accepted, left beside their records: every node reads the
 * live keys when it starts, so remains would make each start a little longer, for ever. There is no hurry, so it takes
 * one small transaction at a time.
 */
class GarbageCollector(
    private val live: LiveKeyReader,
    private val txnOps: Int,
    private val transact: (Map<String, Long>, List<Put>, List<String>) -> StoreResult<Long>,
) {
    private var seen: Set<String> = emptySet()

    /**
     * Looks once. What was without a record at the last look too goes: the parts of a submission are stored before its
     * record. A submission that is slower still is asked to come back, since its record is conditioned on its parts.
     */
    fun look(recordVersion: Long) {
        val orphans =
            live.atomically {
                prefixes.flatMap { live.withPrefix(it) }.map { it.key }.filter {
                    live.get(recordOf(it)) ==
                        null
                }
            }
        val due = orphans.filter { it in seen }.take(txnOps)
        seen = orphans.toHashSet()
        if (due.isEmpty()) return
        // A record that comes meanwhile keeps its parts.
        val conditions = due.map(::recordOf).distinct().associateWith { 0L } + (Keys.LEAD to recordVersion)
        val r = transact(conditions, emptyList(), due)
        log.debug("swept keys={} -> {}", due, r)
    }

    private fun recordOf(key: String) =
        Keys
            .job(key.removePrefix(prefixes.first { key.startsWith(it) }).substringBeforeLast('/'))

    private companion object {
        val log = loggerOf(GarbageCollector::class.java)
        val prefixes = listOf(Keys.CHUNK, Keys.PLACEMENT_PART, Keys.DESCRIPTION_PART)
    }
}
