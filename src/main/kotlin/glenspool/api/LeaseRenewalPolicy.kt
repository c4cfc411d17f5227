package glenspool.api

import com.google.common.base.Ticker
import com.google.common.cache.CacheBuilder
import glenspool.config.WorkerSettings
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/**
 * Whether a node that knows of no leader renews a worker's lease by answering its heartbeat.
 *
 * [elapsed] is the time since the node's start.
 */
class LeaseRenewalPolicy(
    private val workers: WorkerSettings,
    private val otherNodeCount: Int,
    private val elapsed: () -> Duration,
) {
    /**
     * Workers that were refused once, for the length of a lease. Created at the first refusal: loading the cache
     * library's classes would delay the start.
     */
    private val refusedOnce by lazy {
        CacheBuilder
            .newBuilder()
            .ticker(
                object : Ticker() {
                    override fun read(): Long = elapsed().inWholeNanoseconds
                },
            ).maximumSize(MAX_WORKERS)
            .expireAfterWrite(workers.lease.toJavaDuration())
            .build<String, Boolean>()
    }

    /** When this node last answered each worker. */
    private val answeredAt = ConcurrentHashMap<String, Duration>()

    /** The node has answered the worker, as the leader or because there is none: the worker's lease begins anew. */
    fun recordAnswer(machine: String) {
        if (answeredAt.size >= MAX_WORKERS) answeredAt.clear()
        answeredAt[machine] = elapsed()
    }

    /**
     * [cancellationsCompleteUntil]: up to which moment this node knows every confirmed cancellation, null if it can't
     * say (see `Cancellations`). [isIsolated]: it has lost the key-value store and every other node.
     */
    fun renewsLease(machine: String, cancellationsCompleteUntil: Duration?, isIsolated: Boolean): Boolean {
        val now = elapsed()
        return when {
            now >= renewalEnd(cancellationsCompleteUntil) -> false
            cancellationsCompleteUntil == null || !isIsolated || !mayRefuseOnce() -> true
            // A worker that comes from another node found no leader there, and much of its lease has run out meanwhile.
            wasAnsweredRecently(machine, now) -> refusedOnce.asMap().putIfAbsent(machine, true) != null
            else -> true
        }
    }

    /** From this moment on a renewed lease could outlast the deadline of a cancellation that this node doesn't know. */
    private fun renewalEnd(cancellationsCompleteUntil: Duration?): Duration =
        if (cancellationsCompleteUntil == null) {
            // The node has read nothing yet. The worker's lease has not expired, so a node that knew what was cancelled
            // by then answered it within a lease, and only newer cancellations may still have to be carried out.
            workers.cancellationDeadline - workers.lease * 2 - UNKNOWN_MARGIN
        } else {
            // A lease renewed now may last for all its time, and a task cancelled just after the moment up to which
            // cancellations are known must have stopped by its deadline.
            cancellationsCompleteUntil + workers.cancellationDeadline * (1 - CLOCK_DRIFT) - workers.lease - MARGIN
        }

    private fun wasAnsweredRecently(machine: String, now: Duration): Boolean {
        val answered = answeredAt[machine] ?: return false
        return now - answered <= workers.heartbeatInterval * 2
    }

    /**
     * Whether an isolated node may refuse each worker once in a lease: a leader elsewhere could answer it, and this
     * node must not keep it from that one. A worker that comes back found no other node and has its lease renewed, so
     * that its tasks live on. This needs a lease that outlasts a vain round of the other nodes, each of which may time
     * out.
     */
    private fun mayRefuseOnce(): Boolean {
        val vainRound = (WORKER_TIMEOUT + WORKER_RETRY_PAUSE) * otherNodeCount
        return workers.lease >= vainRound + MARGIN + workers.heartbeatInterval * LATE_HEARTBEAT
    }

    private companion object {
        const val MAX_WORKERS = 20_000L

        /** What the worker's clock and this one may drift apart, twice, as a share of the time. */
        const val CLOCK_DRIFT = 0.001

        /** How far behind the last node to answer may have been, and the margin for timers that are late. */
        val UNKNOWN_MARGIN = 3.seconds

        /** From the decision to the answer, and for timers that are late. */
        val MARGIN = 1.seconds

        /** How long a worker waits for an answer, see PROTOCOL. */
        val WORKER_TIMEOUT = 4.seconds

        /** How long a worker waits before it tries the next node. */
        val WORKER_RETRY_PAUSE = 1.seconds

        /** When the next heartbeat after an answer is to be expected at the latest, in intervals. */
        const val LATE_HEARTBEAT = 1.25
    }
}
