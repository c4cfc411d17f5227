package glenspool.controller

import glenspool.core.cluster.OverdueMachine
import glenspool.core.model.MachineType
import glenspool.rollout.FeaturePermits
import kotlin.time.Duration
import kotlin.time.TimeSource

/** The objects that all terms of this node's leadership share. */
internal class TermContext(
    /** The core's monotonic clock; the mark itself, since the result of a function would be boxed at each step. */
    val clock: TimeSource.Monotonic.ValueTimeMark,
    val leadership: Leadership,
    val features: FeaturePermits,
    val changeApplier: StoreChangeApplier,
    val actions: ActionExecutor,
    val orderSummary: OrderSummary,
    /** Called with machines whose cancelled work is overdue while this node can't act as the leader. */
    val onOverdueWork: (List<OverdueMachine>) -> Unit,
    /** Returns the duration of the core's heartbeat backlog. */
    val backlog: () -> Duration,
    /** Returns the machine types last read or stored; null if none are known yet. */
    val knownTypes: () -> List<MachineType>?,
    /** Null if recovery is not managed. */
    val recoveryManager: RecoveryManager?,
)
