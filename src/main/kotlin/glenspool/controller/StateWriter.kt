package glenspool.controller

import glenspool.config.StateLimits
import glenspool.core.SaveJob
import glenspool.core.Store
import glenspool.core.StoreOutcome
import glenspool.logging.loggerOf
import glenspool.rollout.FeaturePermits
import glenspool.rollout.FeatureRegistry
import glenspool.state.Keys
import glenspool.state.Replica
import glenspool.state.StateClient
import glenspool.state.StateResult
import glenspool.state.StoredJob
import glenspool.state.conditions
import glenspool.wire.RecordWire
import java.util.concurrent.ArrayBlockingQueue
import kotlin.time.Duration.Companion.seconds

/** Stores what the core wants stored, one transaction at a time, and tells [ended] how each of them ended. */
class StateWriter(
    private val limits: StateLimits,
    private val state: StateClient,
    private val replica: Replica,
    private val leadership: Leadership,
    private val features: FeaturePermits,
    private val ended: (StoreOutcome, Term) -> Unit,
) {
    private class Write(val term: Term, val store: Store)

    private val writes = ArrayBlockingQueue<Write>(QUEUE)

    /** False: too many wait, and it will not be stored. */
    fun offer(term: Term, store: Store): Boolean = writes.offer(Write(term, store))

    /** The duty. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            val write = writes.take()
            val outcome =
                if (leadership.current() ==
                    write.term
                ) {
                    transact(write.term, write.store)
                } else {
                    StoreOutcome.Refused(emptySet())
                }
            ended(outcome, write.term)
        }
    }

    private fun transact(term: Term, store: Store): StoreOutcome {
        val guards = guards(store) ?: return StoreOutcome.Refused(emptySet())
        val (conditions, puts, removes) = transactionOf(term.mark, store, guards)
        val r = state.transact(conditions, puts, removes)
        if (log.isDebugEnabled) log.debug("store {} -> {}", store.writes.map { it.id }, r)
        return when (r) {
            is StateResult.Ok -> StoreOutcome.Stored(r.value)
            is StateResult.Conflict -> conflict(r)
            is StateResult.Refused ->
                if (r.status ==
                    BAD_REQUEST
                ) {
                    tooLarge(term, store)
                } else {
                    StoreOutcome.Refused(emptySet())
                }
            else -> {
                // It may have been applied, or may be later: the versions read now decide, and each write's
                // condition on the job's version keeps a late one from undoing a newer.
                replica.sync(2.seconds)
                StoreOutcome.Unknown
            }
        }
    }

    /**
     * What writes in a sealed form are conditioned on besides. Without a permit only records that are stored so already
     * may be rewritten in it; null if others are among them, which the core decided on while it was allowed.
     */
    private fun guards(store: Store): Map<String, Long>? {
        val sealed = store.writes.filterIsInstance<SaveJob>().filter { RecordWire.needsSealing(it.record) }
        if (sealed.isEmpty()) return emptyMap()
        features.permit(FeatureRegistry.SEALED_RECORDS)?.let { return it.conditions() }
        val allSealedBefore =
            sealed.all { save ->
                replica.get(Keys.job(save.id))?.let { RecordWire.isSealed(it.value) } ==
                    true
            }
        return if (allSealedBefore) emptyMap() else null
    }

    private fun conflict(r: StateResult.Conflict): StoreOutcome {
        if (Keys.LEAD in r.keys) {
            leadership.stepDown("a write was refused")
        } else {
            log.info("store conflict keys={}", r.keys)
            replica.sync(1.seconds)
        }
        return StoreOutcome.Refused(r.keys.toSet())
    }

    /**
     * Larger than the state service takes by now. If it is one job's record, its description is stored in pieces: what
     * they hold never changes, so they may be written at any time and by anybody.
     */
    private fun tooLarge(term: Term, store: Store): StoreOutcome {
        val save = store.writes.singleOrNull() as? SaveJob
        val permit = features.permit(FeatureRegistry.SEALED_RECORDS)
        if (save == null || save.record.pieces > 0 || permit == null) return StoreOutcome.TooLarge()
        val pieces = StoredJob.pieces(save.record, limits.valueBytes)
        for (puts in pieces.chunked(limits.txnOps)) {
            if (state.transact(permit.conditions() + (Keys.LEAD to term.mark), puts) !is StateResult.Ok) {
                return StoreOutcome
                    .TooLarge()
            }
        }
        return StoreOutcome.TooLarge(mapOf(save.id to pieces.size))
    }

    private companion object {
        val log = loggerOf(StateWriter::class.java)
        const val QUEUE = 4
        const val BAD_REQUEST = 400
    }
}
