package glenspool.reconcile

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What operators decide about recovering after a cold start. Shares are of the fleet or of a lease, so that they suit
 * any deployment.
 */
data class RecoveryPolicy(
    /** The share of each zone's machines of each type that is waited for before anything is judged to be lost. */
    val gatherShare: Double = 0.9,
    /** The longest time of gathering, as a share of a worker's lease. */
    val gatherLeaseShare: Double = 0.5,
    /** The longest time of repairing, as a share of a worker's lease. */
    val repairLeaseShare: Double = 3.0,
    val rates: RepairRates = RepairRates(),
    /** If more than this share of the fleet would get destructive orders, they wait. */
    val breakerShare: Double = 0.3,
    /** How long they wait at most for an operator or for more evidence. */
    val breakerWait: Duration = 60.seconds,
)

/** How many orders of a kind a second, for each machine of the fleet. */
data class RepairRates(
    val starts: Double = 1.0,
    val stops: Double = 0.1,
    val rentals: Double = 0.05,
    val deletions: Double = 0.05,
)

/** What the deployment's settings say, as far as recovery depends on it. */
data class RecoverySetting(val lease: Duration, val heartbeatInterval: Duration, val listLag: Duration)
