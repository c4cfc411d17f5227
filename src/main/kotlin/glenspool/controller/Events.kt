package glenspool.controller

import glenspool.cloud.ScaleOutOutcome
import glenspool.core.CommandOutcome
import glenspool.core.ScaleOut
import glenspool.core.SendCommands
import glenspool.core.StoreOutcome
import glenspool.core.cluster.Cancellation
import glenspool.core.model.Command
import glenspool.core.model.FinalState
import glenspool.core.model.Heartbeat
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineType
import glenspool.peer.RecoveryVerb
import glenspool.reconcile.StartKind
import glenspool.wire.StoreWire
import kotlin.time.ComparableTimeMark

/** What worker answers look like: the token they carry and the orders. */
data class WorkerCommands(val token: Long, val commands: List<Command>)

/** Everything that reaches the core. */
sealed interface Event {
    data class LeaderElected(val term: Term) : Event

    data object LeadershipLost : Event

    data class StoreChanged(val changes: List<StoreWire.Change>) : Event

    /** Another node told of these, which the state service may not have told this one. */
    data class CancellationsLearned(val list: List<Cancellation>) : Event

    data class HeartbeatReceived(val pending: PendingHeartbeat) : Event

    data class CommandsEnded(val sent: SendCommands, val outcome: CommandOutcome, val heartbeat: Heartbeat?, val term: Term) : Event

    /** [asked]: whether the question was sent at all. */
    data class ProbeEnded(val machine: String, val heartbeat: Heartbeat?, val asked: Boolean) : Event

    data class MachinesListed(val list: List<ListedMachine>) : Event

    data class MachineTypesRead(val list: List<MachineType>) : Event

    data class ScaleOutEnded(val request: ScaleOut, val outcome: ScaleOutOutcome) : Event

    data class DeletionEnded(val machines: List<String>, val ok: Boolean) : Event

    data class StoreEnded(val outcome: StoreOutcome, val term: Term) : Event

    data class FencingTokenAdvanced(val token: Long?) : Event

    /**
     * The state was read by a request that was sent at [sent]; all that it told came before. Only while a recovery is
     * under way.
     */
    data class StoreRead(val sent: ComparableTimeMark) : Event

    /** What the other controllers said shows how the term began. */
    data class StartJudged(val term: Term, val kind: StartKind) : Event

    /** An operator's order to the recovery, stored already. */
    data class RecoveryOrdered(val term: Term, val verb: RecoveryVerb) : Event

    data class FinalStatesRead(val asked: List<String>, val found: Map<String, FinalState>, val term: Term) : Event
}
