package glenspool.core.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A machine type as the cloud offers it. Prices are per hour. */
data class MachineType(
    val name: String,
    val capacity: Resources,
    /** The size of the image cache. */
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val price: Double,
    val spotPrice: Double,
    /** How long a machine usually takes to boot. */
    val bootTime: Duration,
    val zones: List<String>,
) {
    /** How long a machine of the type takes to fetch an image of [gb] gigabytes. */
    fun fetchTime(gb: Double): Duration = (gb / fetchGbPerS.coerceAtLeast(MIN_FETCH_GB_PER_S)).seconds

    private companion object {
        /** Keeps fetch times finite for types without a known speed. */
        const val MIN_FETCH_GB_PER_S = 0.01
    }
}

/**
 * A team's quota: the CPUs and GPUs that it is guaranteed, and the maximum that it may use, or null without a limit.
 */
data class Team(val name: String, val cpus: Double, val gpus: Double, val cpusMax: Double?, val gpusMax: Double?)

/** A service-level objective of the deployment, as far as scheduling can use it. */
data class Objective(val kind: String, val jobClass: String?, val within: Duration?, val share: Double) {
    companion object {
        /** The [kind] of objectives for the time in which tasks start. */
        const val WAIT = "wait"

        /** The [kind] of objectives for the time in which jobs are done. */
        const val FINISHED = "finished"
    }
}

/** The state of a machine that the cloud reports. */
enum class MachineStage { BOOTING, RUNNING, FAILED }

/** A machine as the cloud lists it. [age]: the time since it was rented. */
data class ListedMachine(
    val id: String,
    val addr: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val stage: MachineStage,
    val age: Duration,
)
