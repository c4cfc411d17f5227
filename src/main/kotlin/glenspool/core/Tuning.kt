package glenspool.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Values that operators may set by script. All have defaults that suit any deployment. Times that depend on the
 * deployment are derived from its settings instead.
 */
data class Tuning(
    /** RUPAM's resource factor: how far a memory request must outweigh the CPU request. */
    val resourceFactor: Double = 2.0,
    val roundPeriod: Duration = 1.seconds,
    /** Machines that become free are reserved for a gang that has waited this long. */
    val gangWaitBound: Duration = 10.seconds,
    /**
     * A job that has waited this long is placed before all others of its priority. The time is doubled for a job that
     * has already started.
     */
    val waitBound: Duration = 100.seconds,
    /** An ordinary machine that has been idle for this long is returned to the cloud. */
    val idleReturnDelay: Duration = 20.seconds,
    /** The share of a lease after which a silent machine is replaced. */
    val silenceShare: Double = 0.3,
    /** Spare capacity for critical services, as a multiple of the demand that arrives while a machine boots. */
    val headroom: Double = 1.0,
    /** The multiple of the usual boot time after which a machine that has not come up is replaced. */
    val bootTimeoutFactor: Double = 2.5,
    /** How long a kind of machine is not requested again after the cloud refused it. */
    val refusalRetryDelay: Duration = 15.seconds,
)
