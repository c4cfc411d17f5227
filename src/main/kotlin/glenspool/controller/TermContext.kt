package glenspool.controller

import glenspool.core.model.MachineType
import glenspool.rollout.FeaturePermits
import kotlin.time.Duration
import kotlin.time.TimeSource

/** What every term of this node's leadership works with. */
internal class TermContext(
    /** The core's steady clock; the mark itself, since a function's result would be boxed at each step. */
    val clock: TimeSource.Monotonic.ValueTimeMark,
    val leadership: Leadership,
    val features: FeaturePermits,
    val changeApplier: StoreChangeApplier,
    val actions: ActionExecutor,
    val orderSummary: OrderSummary,
    /** How far the core is behind with heartbeats. */
    val backlog: () -> Duration,
    /** The machine types as last read or stored; null: none are known yet. */
    val knownTypes: () -> List<MachineType>?,
    /** Null: recovery is not managed. */
    val recoveryManager: RecoveryManager?,
)
