package glenspool.core.lifecycle

import glenspool.core.SchedulerConfig
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A token bucket that limits the rate of changes that a leader stores. */
class WriteBudget(private val config: SchedulerConfig, startedAt: Duration) {
    /** The size of the bucket. It is large enough for a whole transaction. */
    private val capacity = maxOf(config.writeRps * LEADER_SHARE, config.txnOps.toDouble())
    private var available = capacity
    private var refilledAt = startedAt

    /** Whether at least one change may be stored. */
    val allowsAnyChange: Boolean get() = available >= 1.0

    /** Adds the changes that became available since the last call. */
    fun refill(now: Duration) {
        val added = config.writeRps * LEADER_SHARE * ((now - refilledAt) / 1.seconds)
        available = minOf(capacity, available + added)
        refilledAt = now
    }

    /**
     * Returns whether [cost] more changes may be stored in addition to [planned] ones. Results leave a reserve of the
     * budget unused, because a placement that a user waits for may be decided at any moment.
     */
    fun allows(planned: Int, cost: Int, isResult: Boolean): Boolean {
        val reserve = if (isResult) minOf(capacity / 2, capacity - cost) else 0.0
        return available - planned - cost >= reserve
    }

    /** Takes changes that are being stored from the budget. */
    fun spend(changes: Int) {
        available -= changes
    }

    private companion object {
        /** The leader's share of the writes. Every controller stores accepted jobs and cancellations from the rest. */
        const val LEADER_SHARE = 0.8
    }
}
