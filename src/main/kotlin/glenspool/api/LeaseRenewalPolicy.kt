package glenspool.api

import com.google.common.base.Ticker
import com.google.common.cache.CacheBuilder
import glenspool.config.WorkerSettings
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/**
 * Decides whether a node that leads, or knows no leader, renews a worker's lease by answering its heartbeat.
 *
 * @property uptime the time since the node's start
 */
class LeaseRenewalPolicy(
    private val workers: WorkerSettings,
    private val otherNodeCount: Int,
    private val uptime: () -> Duration,
) {
    /**
     * Workers that were refused, each kept for the length of a lease. Created at the first refusal, because loading the
     * cache library's classes would delay the start.
     */
    private val refusedWorkers by lazy {
        CacheBuilder
            .newBuilder()
            .ticker(
                object : Ticker() {
                    override fun read(): Long = uptime().inWholeNanoseconds
                },
            ).maximumSize(MAX_TRACKED_WORKERS)
            .expireAfterWrite(workers.lease.toJavaDuration())
            .build<String, Boolean>()
    }

    /** When this node last answered each worker. */
    private val lastAnsweredAt = ConcurrentHashMap<String, Duration>()

    /**
     * To be called when the node has answered the worker, as the leader or without the leader's commands, so that the
     * worker's lease starts anew.
     */
    fun recordAnswer(machine: String) {
        if (lastAnsweredAt.size >= MAX_TRACKED_WORKERS) lastAnsweredAt.clear()
        lastAnsweredAt[machine] = uptime()
    }

    /**
     * Returns whether to renew the worker's lease, and why. The decision depends on what this node itself knows. That
     * the worker's lease has not expired only shows that some node renewed it, which may have known as little.
     *
     * @param cancellationsCompleteUntil the moment up to which this node has received every confirmed cancellation, or
     *   null if it can't determine that moment (see `Cancellations`)
     * @param isIsolated whether this node has lost the key-value store and every other node
     */
    fun decide(machine: String, cancellationsCompleteUntil: Duration?, isIsolated: Boolean): LeaseDecision {
        val now = uptime()
        return when {
            cancellationsCompleteUntil == null -> LeaseDecision.REFUSED_UNREAD
            now >= renewalDeadline(cancellationsCompleteUntil) -> LeaseDecision.REFUSED_OUTDATED
            isIsolated && mayRefuseOnce() && isFirstRefusal(machine, now) -> LeaseDecision.REFUSED_ONCE
            else -> LeaseDecision.RENEWED
        }
    }

    /**
     * Returns whether the leader renews a worker's lease, and why. The conditions are those of [decide], but a leader
     * that has just read the key-value store renews leases under any settings. Where the deadline of cancellations is
     * hardly longer than a lease, the leader's stops and deletions have to end cancelled work in time.
     */
    fun decideAsLeader(cancellationsCompleteUntil: Duration?): LeaseDecision {
        if (cancellationsCompleteUntil == null) return LeaseDecision.REFUSED_UNREAD
        val deadline =
            maxOf(renewalDeadline(cancellationsCompleteUntil), cancellationsCompleteUntil + LEADER_READ_ALLOWANCE)
        return if (uptime() >= deadline) LeaseDecision.REFUSED_OUTDATED else LeaseDecision.RENEWED
    }

    /**
     * Returns whether an isolated node refuses the worker now, which it does once per lease. A worker that was not
     * answered here recently found no leader at another node and used up much of its lease there, so it is not refused.
     */
    private fun isFirstRefusal(machine: String, now: Duration): Boolean =
        wasAnsweredRecently(machine, now) && refusedWorkers.asMap().putIfAbsent(machine, true) == null

    /**
     * Returns the moment from which on a renewed lease could outlast the deadline of a cancellation that this node has
     * not received: a lease renewed now may last its full length, and a task cancelled just after
     * [cancellationsCompleteUntil] must have stopped by its deadline.
     */
    private fun renewalDeadline(cancellationsCompleteUntil: Duration): Duration =
        cancellationsCompleteUntil + workers.cancellationDeadline * (1 - DRIFT_ALLOWANCE) - workers.lease -
            ANSWER_MARGIN

    private fun wasAnsweredRecently(machine: String, now: Duration): Boolean {
        val answeredAt = lastAnsweredAt[machine] ?: return false
        return now - answeredAt <= workers.heartbeatInterval * 2
    }

    /**
     * Returns whether an isolated node may refuse each worker once per lease. It does so because a leader elsewhere
     * could answer the worker, which this node must not prevent by answering itself. A worker that returns has found no
     * other node, and its lease is renewed so that its tasks keep running. A refusal therefore requires a lease that is
     * longer than a failed round of attempts at all other nodes, each of which may time out.
     */
    private fun mayRefuseOnce(): Boolean {
        val failedRoundDuration = (WORKER_TIMEOUT + WORKER_RETRY_DELAY) * otherNodeCount
        return workers.lease >= failedRoundDuration + ANSWER_MARGIN + workers.heartbeatInterval * MAX_HEARTBEAT_GAP
    }

    private companion object {
        const val MAX_TRACKED_WORKERS = 20_000L

        /** Twice the relative drift that the worker's clock and this node's clock may have. */
        const val DRIFT_ALLOWANCE = 0.001

        /** Covers the time from the decision to the answer, and late timers. */
        val ANSWER_MARGIN = 1.seconds

        /** A leader reads the key-value store at least once a second, unless its process is overloaded. */
        val LEADER_READ_ALLOWANCE = 7.seconds

        /** How long a worker waits for an answer, see PROTOCOL. */
        val WORKER_TIMEOUT = 4.seconds

        /** How long a worker waits before it tries the next node. */
        val WORKER_RETRY_DELAY = 1.seconds

        /** The longest time from an answer to the next heartbeat, in heartbeat intervals. */
        const val MAX_HEARTBEAT_GAP = 1.25
    }
}
