package glenspool.core

import glenspool.core.model.Objective
import glenspool.core.model.Priority
import glenspool.core.model.Team
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The settings of the deployment that the scheduler uses. */
data class SchedulerConfig(
    val teams: List<Team>,
    val objectives: List<Objective>,
    val zones: List<String>,
    val heartbeatInterval: Duration,
    /** How long a worker keeps its tasks without an answer to a heartbeat. */
    val lease: Duration,
    /** How long a task of a gang waits for the other tasks. */
    val gangWait: Duration,
    /** How long the tasks of a gang take to detect that one of them is lost. */
    val gangPeer: Duration,
    /** The time within which cancelled work has to be gone. */
    val cancellationDeadline: Duration,
    /** How old the cloud's list of machines may be. */
    val listLag: Duration,
    /** The largest number of changes in one transaction. */
    val txnOps: Int,
    /** The number of changes that the key-value store accepts in a second. */
    val writeRps: Double,
    /** The largest size of a value under both the current limits and those that may take effect at any moment. */
    val valueBytes: Int,
    val tuning: Tuning,
    /** Zones of other controllers, which serve the workers there while the zone is partitioned from this node. */
    val peerZones: Set<String> = emptySet(),
    /** Whether each placement and stop is logged. */
    val logsDetails: Boolean = true,
) {
    /** A machine from which a heartbeat was received within this time may get new work. */
    val heartbeatFreshness: Duration get() = heartbeatInterval * FRESH_INTERVALS + FRESHNESS_MARGIN

    /**
     * How long work of this priority waits for the first heartbeat to a new leader of a worker that already answers
     * requests. The worker tries the controllers one after another, and each one that does not respond costs it several
     * seconds. Critical work waits only for as long as a worker takes that finds the leader at once.
     */
    fun firstHeartbeatWait(priority: Priority): Duration =
        if (priority == Priority.CRITICAL) {
            heartbeatInterval * CRITICAL_FIRST_HEARTBEAT_INTERVALS
        } else {
            maxOf(lease * FIRST_HEARTBEAT_LEASE_SHARE, heartbeatInterval * MIN_FIRST_HEARTBEAT_INTERVALS)
        }

    private companion object {
        /** Allows for one lost heartbeat, and for a delay of each by up to a quarter of the interval. */
        const val FRESH_INTERVALS = 2.2
        val FRESHNESS_MARGIN = 1.seconds

        const val FIRST_HEARTBEAT_LEASE_SHARE = 0.5
        const val MIN_FIRST_HEARTBEAT_INTERVALS = 3.0

        /** A worker sends one heartbeat in each interval, give or take a quarter. */
        const val CRITICAL_FIRST_HEARTBEAT_INTERVALS = 1.5
    }
}
