package glenspool.reconcile

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The operators' settings for the recovery after a cold start. Shares refer to the fleet or to a worker's lease, so
 * that the defaults suit deployments of any size.
 */
data class RecoveryPolicy(
    /** The share of machines of each type in each zone that must report before tasks are declared lost. */
    val gatherShare: Double = 0.9,
    /** The time limit of the gathering phase, as a multiple of a worker's lease. */
    val gatherLeaseShare: Double = 0.5,
    /** The time limit of the repairing phase, as a multiple of a worker's lease. */
    val repairLeaseShare: Double = 3.0,
    val rates: RepairRates = RepairRates(),
    /** The circuit breaker opens if more than this share of the fleet would receive destructive orders. */
    val breakerShare: Double = 0.3,
    /** The longest time for which the open circuit breaker holds destructive orders back. */
    val breakerWait: Duration = 60.seconds,
)

/** Rate limits by kind of order, in orders per second and machine of the fleet. */
data class RepairRates(
    val starts: Double = 1.0,
    val stops: Double = 0.1,
    val rentals: Double = 0.05,
    val deletions: Double = 0.05,
)

/**
 * The times from the deployment's settings that a recovery depends on.
 *
 * @property lease how long a worker's lease lasts
 * @property listLag how far the cloud's lists may lag behind
 */
data class RecoveryTimings(val lease: Duration, val heartbeatInterval: Duration, val listLag: Duration)
