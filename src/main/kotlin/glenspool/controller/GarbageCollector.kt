package glenspool.controller

import glenspool.logging.loggerOf
import glenspool.state.Keys
import glenspool.state.LiveKeyReader
import glenspool.state.Put
import glenspool.state.StoreResult
import kotlin.time.Duration.Companion.seconds

/**
 * Removes what ended jobs, and submissions that were never accepted, left beside their records: every node reads the
 * live keys when it starts, so leftovers would make each start a little longer, for ever. There is no hurry, so it
 * takes one small transaction at a time.
 */
class GarbageCollector(
    private val live: LiveKeyReader,
    private val txnOps: Int,
    private val transact: (Map<String, Long>, List<Put>, List<String>) -> StoreResult<Long>,
) {
    private var orphansBefore: Set<String> = emptySet()

    /** The service thread; [term]: this node's term, if it may act as leader now. */
    fun run(term: () -> Term?) {
        while (true) {
            Thread.sleep(PERIOD.inWholeMilliseconds)
            term()?.let { collect(it.recordVersion) }
        }
    }

    /**
     * Runs one pass, on condition of the leadership record's version [recordVersion]. What was without a record in the
     * last pass too is removed: the parts of a submission are stored before its record. A submission that is slower
     * still is asked to come back, since its record is conditioned on its parts.
     */
    fun collect(recordVersion: Long) {
        val orphans = live.atomically { orphans() }
        val due = orphans.filter { it in orphansBefore }.take(txnOps)
        orphansBefore = orphans.toHashSet()
        if (due.isEmpty()) return
        // A record that is stored meanwhile keeps its parts.
        val conditions = due.map(::recordOf).distinct().associateWith { 0L } + (Keys.LEAD to recordVersion)
        val result = transact(conditions, emptyList(), due)
        log.debug("garbage collected keys={} -> {}", due, result)
    }

    private fun orphans(): List<String> =
        prefixes
            .flatMap { live.withPrefix(it) }
            .map { it.key }
            .filter { live.get(recordOf(it)) == null }

    private fun recordOf(key: String): String {
        val prefix = prefixes.first { key.startsWith(it) }
        return Keys.job(key.removePrefix(prefix).substringBeforeLast('/'))
    }

    private companion object {
        val log = loggerOf(GarbageCollector::class.java)
        val prefixes = listOf(Keys.CHUNK, Keys.PLACEMENT_PART, Keys.DESCRIPTION_PART)
        val PERIOD = 20.seconds
    }
}
