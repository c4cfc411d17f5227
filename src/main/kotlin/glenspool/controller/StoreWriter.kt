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

/** Stores what the core wants stored, one transaction at a time, and tells [ended] how each of them ended. */
class StoreWriter(
    private val limits: StoreLimits,
    private val store: KeyValueStoreClient,
    private val cache: StoreCache,
    private val leadership: Leadership,
    private val features: FeaturePermits,
    private val ended: (StoreOutcome, Term) -> Unit,
) {
    private class Write(val term: Term, val changes: StoreChanges)

    private val writes = ArrayBlockingQueue<Write>(QUEUE)

    /** False: too many wait, and it will not be stored. */
    fun offer(term: Term, changes: StoreChanges): Boolean = writes.offer(Write(term, changes))

    /** The duty. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            val write = writes.take()
            val outcome =
                if (leadership.current() ==
                    write.term
                ) {
                    transact(write.term, write.changes)
                } else {
                    StoreOutcome.Refused(emptySet())
                }
            ended(outcome, write.term)
        }
    }

    private fun transact(term: Term, changes: StoreChanges): StoreOutcome {
        val guards = guards(changes) ?: return StoreOutcome.Refused(emptySet())
        val (conditions, puts, removes) = transactionOf(term.recordVersion, changes, guards)
        val r = store.transact(conditions, puts, removes)
        if (log.isDebugEnabled) log.debug("store {} -> {}", changes.writes.map { it.id }, r)
        return when (r) {
            is StoreResult.Ok -> StoreOutcome.Stored(r.value)
            is StoreResult.Conflict -> conflict(r)
            is StoreResult.Refused ->
                if (r.status ==
                    BAD_REQUEST
                ) {
                    tooLarge(term, changes)
                } else {
                    StoreOutcome.Refused(emptySet())
                }
            else -> {
                // It may have been applied, or may be later: the versions read now decide, and each write's
                // condition on the job's version keeps a late one from undoing a newer.
                cache.sync(2.seconds)
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
        val allSealedBefore =
            sealed.all { save ->
                cache.get(Keys.job(save.id))?.let { RecordWire.isSealed(it.value) } ==
                    true
            }
        return if (allSealedBefore) emptyMap() else null
    }

    private fun conflict(r: StoreResult.Conflict): StoreOutcome {
        if (Keys.LEAD in r.keys) {
            leadership.stepDown("a write was refused")
        } else {
            log.info("store conflict keys={}", r.keys)
            cache.sync(1.seconds)
        }
        return StoreOutcome.Refused(r.keys.toSet())
    }

    /**
     * Larger than the state service takes by now. If it is one job's record, its description is stored in pieces: what
     * they hold never changes, so they may be written at any time and by anybody.
     */
    private fun tooLarge(term: Term, changes: StoreChanges): StoreOutcome {
        val save = changes.writes.singleOrNull() as? UpdateJobRecord
        val permit = features.permit(FeatureRegistry.SEALED_RECORDS)
        if (save == null || save.record.descriptionParts > 0 || permit == null) return StoreOutcome.TooLarge()
        val descriptionParts = JobRecordReader.descriptionParts(save.record, limits.valueBytes)
        for (puts in descriptionParts.chunked(limits.txnOps)) {
            if (store.transact(permit.conditions() + (Keys.LEAD to term.recordVersion), puts) !is StoreResult.Ok) {
                return StoreOutcome
                    .TooLarge()
            }
        }
        return StoreOutcome.TooLarge(mapOf(save.id to descriptionParts.size))
    }

    private companion object {
        val log = loggerOf(StoreWriter::class.java)
        const val QUEUE = 4
        const val BAD_REQUEST = 400
    }
}
