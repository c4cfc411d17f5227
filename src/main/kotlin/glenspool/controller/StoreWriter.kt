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

    private val writes = ArrayBlockingQueue<Write>(MAX_QUEUED_WRITES)

    /** Queues [changes] to be stored. Returns false, without storing them, if too many changes are queued already. */
    fun offer(term: Term, changes: StoreChanges): Boolean = writes.offer(Write(term, changes))

    /** The body of the service thread. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            val write = writes.take()
            val isLeading = leadership.current() == write.term
            onEnded(if (isLeading) storeOrUnknown(write) else NOTHING_STORED, write.term)
        }
    }

    /** Stores the changes. After an exception the outcome is unknown; the core must learn of it to write again. */
    private fun storeOrUnknown(write: Write): StoreOutcome =
        try {
            store(write.term, write.changes)
        } catch (e: InterruptedException) {
            throw e
        } catch (e: Exception) {
            log.error("transaction for jobs {} failed; its outcome is unknown", write.changes.writes.map { it.id }, e)
            readAfterUnknown()
        }

    private fun store(term: Term, changes: StoreChanges): StoreOutcome {
        val conditions = sealedFormConditions(changes) ?: return NOTHING_STORED
        val transaction = transactionOf(term.recordVersion, changes, conditions)
        val result = store.transact(transaction.conditions, transaction.puts, transaction.removes)
        if (log.isDebugEnabled) log.debug("store {} -> {}", changes.writes.map { it.id }, result)
        return when (result) {
            is StoreResult.Ok -> StoreOutcome.Stored(result.value)
            is StoreResult.Conflict -> handleConflict(result)
            is StoreResult.Refused ->
                if (result.status == BAD_REQUEST_STATUS) handleTooLarge(term, changes) else NOTHING_STORED
            is StoreResult.Missing, is StoreResult.Unknown -> readAfterUnknown()
        }
    }

    /**
     * Reads the store after a transaction that may have been applied, or may be applied later. The versions read now
     * decide, and each write's condition on the job's version prevents a late write from undoing a newer one.
     */
    private fun readAfterUnknown(): StoreOutcome {
        cache.sync(UNKNOWN_SYNC_TIMEOUT)
        return StoreOutcome.Unknown
    }

    /**
     * Returns the additional conditions of writes in the sealed form. Without a permit only records that are already
     * stored in that form may be rewritten in it. Returns null if [changes] contain other sealed records, which the
     * core decided to write while that was permitted.
     */
    private fun sealedFormConditions(changes: StoreChanges): Map<String, Long>? {
        val sealed = changes.writes.filterIsInstance<UpdateJobRecord>().filter { RecordWire.needsSealing(it.record) }
        if (sealed.isEmpty()) return emptyMap()
        features.permit(FeatureRegistry.SEALED_RECORDS)?.let { return it.conditions() }
        return if (sealed.all { isStoredSealed(it.id) }) emptyMap() else null
    }

    private fun isStoredSealed(job: String): Boolean {
        val item = cache.get(Keys.job(job)) ?: return false
        return RecordWire.isSealed(item.value)
    }

    private fun handleConflict(conflict: StoreResult.Conflict): StoreOutcome {
        if (Keys.LEADERSHIP in conflict.keys) {
            leadership.stepDown("a write was refused")
        } else {
            log.info("store conflict keys={}", conflict.keys)
            cache.sync(CONFLICT_SYNC_TIMEOUT)
        }
        return StoreOutcome.Refused(conflict.keys.toSet())
    }

    /**
     * Handles changes that are larger than the key-value store accepts by now. If they consist of one job's record, its
     * description is stored in parts. The content of the parts never changes, so any node may write them at any time.
     */
    private fun handleTooLarge(term: Term, changes: StoreChanges): StoreOutcome {
        val update = changes.writes.singleOrNull() as? UpdateJobRecord
        val permit = features.permit(FeatureRegistry.SEALED_RECORDS)
        if (update == null || update.record.descriptionPartCount > 0 || permit == null) return StoreOutcome.TooLarge()
        val parts = JobRecordReader.descriptionPartPuts(update.record, limits.valueBytes)
        val conditions = permit.conditions() + (Keys.LEADERSHIP to term.recordVersion)
        val isStored = parts.chunked(limits.txnOps).all { puts -> store.transact(conditions, puts) is StoreResult.Ok }
        return if (isStored) StoreOutcome.TooLarge(mapOf(update.id to parts.size)) else StoreOutcome.TooLarge()
    }

    private companion object {
        val log = loggerOf(StoreWriter::class.java)

        /** Nothing was stored, for another reason than a failed condition on a job's own keys. */
        val NOTHING_STORED = StoreOutcome.Refused(emptySet())
        const val MAX_QUEUED_WRITES = 4
        const val BAD_REQUEST_STATUS = 400
        val UNKNOWN_SYNC_TIMEOUT = 2.seconds
        val CONFLICT_SYNC_TIMEOUT = 1.seconds
    }
}
