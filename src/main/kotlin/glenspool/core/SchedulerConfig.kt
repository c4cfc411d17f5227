package glenspool.core

import glenspool.core.model.Objective
import glenspool.core.model.Team
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What the scheduler needs to know of the deployment. */
data class SchedulerConfig(
    val teams: List<Team>,
    val objectives: List<Objective>,
    val zones: List<String>,
    val heartbeatInterval: Duration,
    /** How long a worker keeps its tasks without an answer to a heartbeat. */
    val lease: Duration,
    /** How long a task of a gang waits for the others. */
    val gangWait: Duration,
    /** How long the tasks of a gang take to notice that one of them is lost. */
    val gangPeer: Duration,
    /** The time within which cancelled work has to be gone. */
    val cancellationDeadline: Duration,
    /** How old the cloud's list of machines may be. */
    val listLag: Duration,
    /** The largest number of changes in one transaction. */
    val txnOps: Int,
    /** The number of changes that the key-value store takes in a second. */
    val writeRps: Double,
    /** The largest size of a value, under the limits that hold now and those that may hold at any moment. */
    val valueBytes: Int,
    val tuning: Tuning,
    /** Zones of the other controllers: while one is cut off from this node, its workers are served there. */
    val peerZones: Set<String> = emptySet(),
    /** Whether each placement and stop is logged. */
    val logsDetails: Boolean = true,
) {
    /** A machine that was heard within this time is up to date enough for new work. */
    val heartbeatFreshness: Duration get() = heartbeatInterval * FRESH_INTERVALS + FRESHNESS_MARGIN

    private companion object {
        /** One heartbeat may be lost, and each is up to a quarter of the interval late. */
        const val FRESH_INTERVALS = 2.2
        val FRESHNESS_MARGIN = 1.seconds
    }
}
