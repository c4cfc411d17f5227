package glenspool.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Values that operators may set by script; all have defaults that suit any deployment. Times that depend on
 * the deployment are derived from its settings instead and are not here.
 */
data class Tuning(
    /** RUPAM's resource factor: how far a memory request must outweigh the CPU request. */
    val resourceFactor: Double = 2.0,
    val roundPeriod: Duration = 1.seconds,
    /** After this long a gang has freed machines held for it. */
    val gangWaitBound: Duration = 10.seconds,
    /**
     * After this long a job that has not begun goes before all others of its priority; twice as long for one that has.
     */
    val waitBound: Duration = 100.seconds,
    /** An ordinary machine that has been empty for this long is returned. */
    val idleReturnDelay: Duration = 20.seconds,
    /** Share of a lease after which a silent machine is replaced. */
    val silenceShare: Double = 0.3,
    /** Spare places kept for critical services, as a multiple of what arrives while a machine boots. */
    val headroom: Double = 1.0,
    /** A machine that has not come up after this many usual boot times is replaced. */
    val bootTimeoutFactor: Double = 2.5,
    /** How long a refused kind of machine is not asked for again. */
    val refusalRetryDelay: Duration = 15.seconds,
)
