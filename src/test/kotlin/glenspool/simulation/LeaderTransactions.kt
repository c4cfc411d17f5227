package glenspool.simulation

import glenspool.controller.Transaction
import glenspool.controller.transactionOf
import glenspool.core.Scheduler
import glenspool.core.StoreChanges
import glenspool.core.StoreOutcome
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Executes the leader's transactions. Some are refused, and some get no response and are committed immediately, later
 * or never.
 */
internal class LeaderTransactions(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val leader: SimulatedLeader,
    private val jobStatusChecker: JobStatusChecker,
) {
    /** Number of transactions that were refused because a value was too large. */
    var oversizedTransactionCount = 0
        private set

    fun store(changes: StoreChanges, scheduler: Scheduler) {
        val transaction = transactionFor(changes)
        when {
            store.isDown ->
                respondAfterDelay(scheduler, StoreOutcome.Refused(emptySet()))
            transaction.puts.any(store.state::isTooLarge) -> {
                oversizedTransactionCount++
                respondAfterDelay(scheduler, StoreOutcome.TooLarge())
            }
            context.chance(context.faults.messageLoss / 2) -> executeWithoutResponse(transaction, scheduler)
            else -> executeAndRespond(transaction, scheduler)
        }
    }

    private fun transactionFor(changes: StoreChanges): Transaction {
        val transaction = transactionOf(leader.recordVersion, changes)
        if (!leader.isOldVersion) return transaction
        return transaction.copy(puts = transaction.puts.map(OldVersion::rewrite))
    }

    private fun respondAfterDelay(scheduler: Scheduler, outcome: StoreOutcome) {
        context.after(context.networkDelay()) { leader.stepIfLeading(scheduler) { transactionEnded(outcome) } }
    }

    /** Commits the transaction immediately, seconds later if its conditions still hold then, or never. */
    private fun executeWithoutResponse(transaction: Transaction, scheduler: Scheduler) {
        if (context.chance(context.faults.immediateCommitShare)) {
            commit(transaction)
        } else if (context.chance(0.7)) {
            context.after(context.random.nextInt(20).seconds) { commit(transaction) }
        }
        context.after(1500.milliseconds) {
            leader.readChanges()
            leader.stepIfLeading(scheduler) { transactionEnded(StoreOutcome.Unknown) }
        }
    }

    private fun executeAndRespond(transaction: Transaction, scheduler: Scheduler) =
        context.after(context.networkDelay()) {
            val failedKeys = commit(transaction)
            if (failedKeys == null) planCopy(transaction)
            val revision = store.state.revision
            context.after(context.networkDelay()) {
                if (failedKeys != null) leader.readChanges()
                val outcome = failedKeys?.let { StoreOutcome.Refused(it.toSet()) } ?: StoreOutcome.Stored(revision)
                leader.stepIfLeading(scheduler) { transactionEnded(outcome) }
            }
        }

    /** Lets a copy of the transaction arrive later. The store has to refuse it, since it would undo newer changes. */
    private fun planCopy(transaction: Transaction) {
        // No number is drawn without this fault, so that the runs of other seeds stay the same.
        val rate = context.faults.repeatedTransactions
        if (rate == 0.0 || !context.chance(rate)) return
        context.after(context.config.lease * (context.random.nextDouble() * MAX_COPY_DELAY_LEASES)) {
            if (commit(transaction) == null) context.recordViolation("transaction repeated ${transaction.conditions}")
        }
    }

    /** Returns the keys whose conditions failed, or null if the transaction was committed. */
    private fun commit(transaction: Transaction): List<String>? {
        val failedKeys = store.state.transact(transaction.conditions, transaction.puts, transaction.removes)
        if (failedKeys == null) jobStatusChecker.checkStored(transaction)
        return failedKeys
    }

    private companion object {
        const val MAX_COPY_DELAY_LEASES = 5.0
    }
}
