package glenspool.controller

import glenspool.logging.loggerOf
import glenspool.state.Keys
import glenspool.state.LiveKeyReader
import glenspool.state.Put
import glenspool.state.StoreResult
import kotlin.time.Duration.Companion.seconds

/**
 * Removes keys without a job record, which remain from ended jobs and from submissions that were never accepted. Every
 * node reads all live keys when it starts, so each remaining key would lengthen all later starts. The removal is not
 * urgent, so each pass sends one small transaction.
 */
class GarbageCollector(
    private val liveKeys: LiveKeyReader,
    private val txnOps: Int,
    private val transact: (Map<String, Long>, List<Put>, List<String>) -> StoreResult<Long>,
) {
    private var previousCandidates: Set<String> = emptySet()

    /** The body of the service thread. [term] returns this node's term if it may act as leader now, otherwise null. */
    fun run(term: () -> Term?) {
        while (true) {
            Thread.sleep(PASS_INTERVAL.inWholeMilliseconds)
            term()?.let { collect(it.recordVersion) }
        }
    }

    /**
     * Runs one pass, conditioned on the leadership record's version [recordVersion]. It removes only keys that had no
     * job record in the previous pass either, because the parts of a submission are stored before its record. If a
     * submission takes longer than that, its user is asked to retry, since its record is conditioned on its parts.
     */
    fun collect(recordVersion: Long) {
        val candidates = liveKeys.atomically { keysWithoutRecord() }
        val due = candidates.filter { it in previousCandidates }.take(txnOps)
        previousCandidates = candidates.toHashSet()
        if (due.isEmpty()) return
        // If a record is stored in the meantime, its condition fails, and the record keeps its parts.
        val conditions = due.map(::recordKeyOf).distinct().associateWith { 0L } + (Keys.LEADERSHIP to recordVersion)
        val result = transact(conditions, emptyList(), due)
        log.debug("garbage collected keys={} -> {}", due, result)
    }

    private fun keysWithoutRecord(): List<String> =
        prefixes
            .flatMap { liveKeys.withPrefix(it) }
            .map { it.key }
            .filter { liveKeys.get(recordKeyOf(it)) == null }

    private fun recordKeyOf(key: String): String {
        val prefix = prefixes.first { key.startsWith(it) }
        return Keys.job(key.removePrefix(prefix).substringBeforeLast('/'))
    }

    private companion object {
        val log = loggerOf(GarbageCollector::class.java)
        val prefixes = listOf(Keys.CHUNK, Keys.PLACEMENT_PART, Keys.DESCRIPTION_PART)
        val PASS_INTERVAL = 20.seconds
    }
}
