package glenspool.controller

import glenspool.config.StoreLimits
import glenspool.core.StoreChanges
import glenspool.core.StoreOutcome
import glenspool.core.UpdateJobRecord
import glenspool.logging.loggerOf
import glenspool.rollout.FeaturePermits
import glenspool.rollout.FeatureRegistry
import glenspool.state.JobRecordReader
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.StoreCache
import glenspool.state.StoreResult
import glenspool.state.conditions
import glenspool.wire.RecordWire
import java.util.concurrent.ArrayBlockingQueue
import kotlin.time.Duration.Companion.seconds

/** Stores the core's changes, one transaction at a time, and calls [onEnded] with each outcome. */
class StoreWriter(
    private val limits: StoreLimits,
    private val store: KeyValueStoreClient,
    private val cache: StoreCache,
    private val leadership: Leadership,
    private val features: FeaturePermits,
    private val onEnded: (StoreOutcome, Term) -> Unit,
) {
    private class Write(val term: Term, val changes: StoreChanges)

    private val writes = ArrayBlockingQueue<Write>(QUEUE_CAPACITY)

    /** False: too many wait, and it will not be stored. */
    fun offer(term: Term, changes: StoreChanges): Boolean = writes.offer(Write(term, changes))

    /** The service thread. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            val write = writes.take()
            val isLeading = leadership.current() == write.term
            onEnded(if (isLeading) store(write.term, write.changes) else NOTHING_STORED, write.term)
        }
    }

    private fun store(term: Term, changes: StoreChanges): StoreOutcome {
        val guards = guards(changes) ?: return NOTHING_STORED
        val transaction = transactionOf(term.recordVersion, changes, guards)
        val result = store.transact(transaction.conditions, transaction.puts, transaction.removes)
        if (log.isDebugEnabled) log.debug("store {} -> {}", changes.writes.map { it.id }, result)
        return when (result) {
            is StoreResult.Ok -> StoreOutcome.Stored(result.value)
            is StoreResult.Conflict -> conflict(result)
            is StoreResult.Refused -> if (result.status == BAD_REQUEST) tooLarge(term, changes) else NOTHING_STORED
            is StoreResult.Missing, is StoreResult.Unknown -> {
                // It may have been applied, or may be later: the versions read now decide, and each write's
                // condition on the job's version keeps a late one from undoing a newer.
                cache.sync(UNKNOWN_SYNC_TIMEOUT)
                StoreOutcome.Unknown
            }
        }
    }

    /**
     * What writes in a sealed form are conditioned on besides. Without a permit only records that are stored so already
     * may be rewritten in it; null if others are among them, which the core decided on while it was allowed.
     */
    private fun guards(changes: StoreChanges): Map<String, Long>? {
        val sealed = changes.writes.filterIsInstance<UpdateJobRecord>().filter { RecordWire.needsSealing(it.record) }
        if (sealed.isEmpty()) return emptyMap()
        features.permit(FeatureRegistry.SEALED_RECORDS)?.let { return it.conditions() }
        return if (sealed.all { isStoredSealed(it.id) }) emptyMap() else null
    }

    private fun isStoredSealed(job: String): Boolean {
        val item = cache.get(Keys.job(job)) ?: return false
        return RecordWire.isSealed(item.value)
    }

    private fun conflict(conflict: StoreResult.Conflict): StoreOutcome {
        if (Keys.LEAD in conflict.keys) {
            leadership.stepDown("a write was refused")
        } else {
            log.info("store conflict keys={}", conflict.keys)
            cache.sync(CONFLICT_SYNC_TIMEOUT)
        }
        return StoreOutcome.Refused(conflict.keys.toSet())
    }

    /**
     * The changes are larger than the key-value store takes by now. If they are one job's record, its description is
     * stored in parts: their content never changes, so they may be written at any time and by anybody.
     */
    private fun tooLarge(term: Term, changes: StoreChanges): StoreOutcome {
        val update = changes.writes.singleOrNull() as? UpdateJobRecord
        val permit = features.permit(FeatureRegistry.SEALED_RECORDS)
        if (update == null || update.record.descriptionParts > 0 || permit == null) return StoreOutcome.TooLarge()
        val parts = JobRecordReader.descriptionParts(update.record, limits.valueBytes)
        val conditions = permit.conditions() + (Keys.LEAD to term.recordVersion)
        val isStored = parts.chunked(limits.txnOps).all { puts -> store.transact(conditions, puts) is StoreResult.Ok }
        return if (isStored) StoreOutcome.TooLarge(mapOf(update.id to parts.size)) else StoreOutcome.TooLarge()
    }

    private companion object {
        val log = loggerOf(StoreWriter::class.java)

        /** No condition of a job's own failed. */
        val NOTHING_STORED = StoreOutcome.Refused(emptySet())
        const val QUEUE_CAPACITY = 4
        const val BAD_REQUEST = 400
        val UNKNOWN_SYNC_TIMEOUT = 2.seconds
        val CONFLICT_SYNC_TIMEOUT = 1.seconds
    }
}
