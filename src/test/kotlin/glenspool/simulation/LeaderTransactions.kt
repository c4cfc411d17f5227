package glenspool.simulation

import glenspool.controller.Transaction
import glenspool.controller.transactionOf
import glenspool.core.Scheduler
import glenspool.core.StoreChanges
import glenspool.core.StoreOutcome
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The leader's transactions: some are refused, some remain without an answer and are carried out at any time. */
internal class LeaderTransactions(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val leader: SimulatedLeader,
    private val rules: JobStatusChecker,
) {
    /** Transactions that were refused because a value was too large. */
    var oversizedTransactionCount = 0
        private set

    fun store(changes: StoreChanges, scheduler: Scheduler) {
        val transaction = transactionFor(changes)
        when {
            store.isDown ->
                answerLater(scheduler, StoreOutcome.Refused(emptySet()))
            transaction.puts.any(store.state::isTooLarge) -> {
                oversizedTransactionCount++
                answerLater(scheduler, StoreOutcome.TooLarge())
            }
            context.chance(context.faults.messageLoss / 2) -> loseAnswer(transaction, scheduler)
            else -> storeAndAnswer(transaction, scheduler)
        }
    }

    private fun transactionFor(changes: StoreChanges): Transaction {
        val transaction = transactionOf(leader.recordVersion, changes)
        if (!leader.isOldVersion) return transaction
        return transaction.copy(puts = transaction.puts.map(OldVersion::rewrite))
    }

    private fun answerLater(scheduler: Scheduler, outcome: StoreOutcome) {
        context.after(context.networkDelay()) { leader.stepIfLeading(scheduler) { transactionEnded(outcome) } }
    }

    /** The transaction is carried out at once, much later if its conditions still hold then, or never. */
    private fun loseAnswer(transaction: Transaction, scheduler: Scheduler) {
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

    private fun storeAndAnswer(transaction: Transaction, scheduler: Scheduler) =
        context.after(context.networkDelay()) {
            val failedKeys = commit(transaction)
            val revision = store.state.revision
            context.after(context.networkDelay()) {
                if (failedKeys != null) leader.readChanges()
                val outcome = failedKeys?.let { StoreOutcome.Refused(it.toSet()) } ?: StoreOutcome.Stored(revision)
                leader.stepIfLeading(scheduler) { transactionEnded(outcome) }
            }
        }

    /** Returns the keys whose conditions failed, or null if the transaction was carried out. */
    private fun commit(transaction: Transaction): List<String>? {
        val failedKeys = store.state.transact(transaction.conditions, transaction.puts, transaction.removes)
        if (failedKeys == null) rules.checkStored(transaction)
        return failedKeys
    }
}
