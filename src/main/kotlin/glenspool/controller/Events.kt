package glenspool.controller

import glenspool.cloud.RentOutcome
import glenspool.core.Direct
import glenspool.core.DirectOutcome
import glenspool.core.Rent
import glenspool.core.StoreOutcome
import glenspool.core.cluster.Cancellation
import glenspool.core.model.Command
import glenspool.core.model.JobEnd
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineType
import glenspool.core.model.Report
import glenspool.peer.RecoveryVerb
import glenspool.reconcile.StartKind
import glenspool.wire.StateWire
import kotlin.time.ComparableTimeMark

/** What worker answers look like: the token they carry and the orders. */
data class WorkerOrders(val token: Long, val commands: List<Command>)

/** Everything that reaches the core. */
sealed interface Event {
    data class Elected(val term: Term) : Event

    data object Deposed : Event

    data class Changes(val changes: List<StateWire.Change>) : Event

    /** Another node told of these, which the state service may not have told this one. */
    data class Cancelled(val list: List<Cancellation>) : Event

    data class Reported(val pending: PendingReport) : Event

    data class DirectEnded(val sent: Direct, val outcome: DirectOutcome, val report: Report?, val term: Term) : Event

    /** [asked]: whether the question was sent at all. */
    data class Probed(val machine: String, val report: Report?, val asked: Boolean) : Event

    data class Listed(val list: List<ListedMachine>) : Event

    data class Types(val list: List<MachineType>) : Event

    data class RentEnded(val request: Rent, val outcome: RentOutcome) : Event

    data class DeleteEnded(val machines: List<String>, val ok: Boolean) : Event

    data class Stored(val outcome: StoreOutcome, val term: Term) : Event

    data class Raised(val token: Long?) : Event

    /**
     * The state was read by a request that was sent at [sent]; all that it told came before. Only while a recovery is
     * under way.
     */
    data class StateRead(val sent: ComparableTimeMark) : Event

    /** What the other controllers said shows how the term began. */
    data class StartJudged(val term: Term, val kind: StartKind) : Event

    /** An operator's order to the recovery, stored already. */
    data class RecoveryOrdered(val term: Term, val verb: RecoveryVerb) : Event

    data class EndsRead(val asked: List<String>, val found: Map<String, JobEnd>, val term: Term) : Event
}
