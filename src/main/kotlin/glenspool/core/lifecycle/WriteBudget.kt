package glenspool.core.lifecycle

import glenspool.core.SchedulerConfig
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A token bucket for the changes that a leader may store. */
class WriteBudget(private val config: SchedulerConfig, startedAt: Duration) {
    /** The most that can have gathered; a whole transaction always fits. */
    private val capacity = maxOf(config.writeRps * LEADER_SHARE, config.txnOps.toDouble())
    private var available = capacity
    private var filledAt = startedAt

    /** Whether at least one change may be stored. */
    val allowsAnyChange: Boolean get() = available >= 1.0

    /** Adds what has come since the last call. */
    fun refill(now: Duration) {
        val added = config.writeRps * LEADER_SHARE * ((now - filledAt) / 1.seconds)
        available = minOf(capacity, available + added)
        filledAt = now
    }

    /**
     * Whether [cost] more changes may be stored beside [planned] ones. Results never use the last of the budget: a
     * placement that somebody waits for may come at any moment.
     */
    fun allows(planned: Int, cost: Int, isResult: Boolean): Boolean {
        val reserve = if (isResult) minOf(capacity / 2, capacity - cost) else 0.0
        return available - planned - cost >= reserve
    }

    /** These changes are being stored. */
    fun spend(changes: Int) {
        available -= changes
    }

    private companion object {
        /** The rest is for acceptance and cancellation, which every controller stores by itself. */
        const val LEADER_SHARE = 0.8
    }
}
