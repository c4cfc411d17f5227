package glenspool.controller

import glenspool.cloud.ScaleOutOutcome
import glenspool.core.CommandOutcome
import glenspool.core.Probe
import glenspool.core.ScaleOut
import glenspool.core.SendCommands
import glenspool.core.StoreOutcome
import glenspool.core.cluster.Cancellation
import glenspool.core.model.FinalState
import glenspool.core.model.Heartbeat
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineType
import glenspool.peer.RecoveryVerb
import glenspool.reconcile.StartKind
import glenspool.wire.StoreWire
import kotlin.time.ComparableTimeMark

/** An event for the core thread, which processes events in the order in which they are queued. */
sealed interface Event {
    /** This node was elected, and [term] begins. */
    data class LeaderElected(val term: Term) : Event

    /** This node no longer leads. */
    data object LeadershipLost : Event

    /** Changes of live keys, as the key-value store reported them. */
    data class StoreChanged(val changes: List<StoreWire.Change>) : Event

    /** Cancellations received from another controller; the key-value store may not have reported them to this one. */
    data class CancellationsReceived(val cancellations: List<Cancellation>) : Event

    /** A worker's heartbeat was accepted and waits for the core's answer. */
    data class HeartbeatReceived(val pending: PendingHeartbeat) : Event

    /** A request that sent commands ended; [heartbeat] is the one in the worker's response, if any. */
    data class CommandsEnded(
        val sent: SendCommands,
        val outcome: CommandOutcome,
        val heartbeat: Heartbeat?,
        val term: Term,
    ) : Event

    /** A probe of a machine ended. [wasSent] is false if it was not attempted. */
    data class ProbeEnded(val probe: Probe, val heartbeat: Heartbeat?, val wasSent: Boolean) : Event

    /** The cloud listed its machines. */
    data class MachinesListed(val machines: List<ListedMachine>) : Event

    /** The cloud listed its machine types. */
    data class MachineTypesRead(val types: List<MachineType>) : Event

    /** A scale-out request ended. */
    data class ScaleOutEnded(val request: ScaleOut, val outcome: ScaleOutOutcome) : Event

    /** A deletion request ended. [isDeleted]: the cloud confirmed that the machines are gone. */
    data class DeletionEnded(val machines: List<String>, val isDeleted: Boolean) : Event

    /** A transaction of the term ended. */
    data class StoreEnded(val outcome: StoreOutcome, val term: Term) : Event

    /** The image locations of the [part] were not stored, or it is not known whether they were. */
    data class ImageLocationsNotStored(val part: Int, val term: Term) : Event

    /** The fencing token was advanced to [token]; null if it was not advanced or the outcome is unknown. */
    data class FencingTokenAdvanced(val token: Long?) : Event

    /**
     * The key-value store was read by a request sent at [sent]; all changes up to then were queued before this event.
     * Posted only while a recovery is under way.
     */
    data class StoreRead(val sent: ComparableTimeMark) : Event

    /** The other controllers' answers show with which kind of start the term began. */
    data class StartKindDetermined(val term: Term, val kind: StartKind) : Event

    /** An operator gave an order to the recovery, and the order has been stored. */
    data class RecoveryOrdered(val term: Term, val verb: RecoveryVerb) : Event

    /** Final states of [jobs] were read; [states] holds those that are known. */
    data class FinalStatesRead(val jobs: List<String>, val states: Map<String, FinalState>, val term: Term) : Event
}
