package glenspool.simulation

import glenspool.api.FinalStates
import glenspool.core.Action
import glenspool.core.AdvanceFencingToken
import glenspool.core.DeleteMachines
import glenspool.core.LogMessage
import glenspool.core.Probe
import glenspool.core.ReadFinalStates
import glenspool.core.ReportViolation
import glenspool.core.Resign
import glenspool.core.ScaleOut
import glenspool.core.Scheduler
import glenspool.core.SendCommands
import glenspool.core.StoreChanges
import glenspool.core.StoreImageLocations
import glenspool.core.model.FinalState

/** Performs the actions of the leader's scheduler. Requests can fail by the faults of the simulation. */
internal class ActionPerformer(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val leader: SimulatedLeader,
    private val cloud: SimulatedCloud,
    private val requests: WorkerRequests,
    private val transactions: LeaderTransactions,
) {
    fun perform(action: Action, scheduler: Scheduler) {
        when (action) {
            is SendCommands -> requests.send(action, scheduler)
            is Probe -> requests.probe(action, scheduler)
            is ScaleOut -> cloud.scaleOut(action, scheduler)
            is DeleteMachines -> cloud.delete(action, scheduler)
            is StoreChanges -> transactions.store(action, scheduler)
            is AdvanceFencingToken -> advanceFencingToken(scheduler)
            is ReadFinalStates -> readFinalStates(action, scheduler)
            is StoreImageLocations -> check(action.images.values.none { it.isEmpty() }) { "an image has no locations" }
            is ReportViolation -> context.reportedViolations += "${context.now} ${action.rule} ${action.details}"
            is LogMessage -> check(action.text.isNotEmpty()) { "the text of a log message is empty" }
            is Resign -> leader.handleResignation(scheduler)
        }
    }

    private fun advanceFencingToken(scheduler: Scheduler) =
        context.after(context.networkDelay()) {
            val token = leader.advanceToken(scheduler)
            leader.stepIfLeading(scheduler) { fencingTokenAdvanced(token) }
        }

    private fun readFinalStates(action: ReadFinalStates, scheduler: Scheduler) =
        context.after(context.networkDelay()) {
            val isAnswered = !store.isDown && !context.chance(context.faults.messageLoss)
            val finalStates = HashMap<String, FinalState>()
            if (isAnswered) {
                for (job in action.jobs) {
                    val state = store.finalStates.read(job)
                    if (state is FinalStates.Ended) finalStates[job] = state.outcome.state
                }
            }
            leader.stepIfLeading(scheduler) { finalStatesRead(action.jobs, finalStates) }
        }
}
