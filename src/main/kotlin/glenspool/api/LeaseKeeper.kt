package glenspool.api

import com.google.common.base.Ticker
import com.google.common.cache.CacheBuilder
import glenspool.config.WorkerSettings
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/**
 * Whether a node that knows of no leader keeps a worker's lease by answering it. [elapsed] is the time since the
 * node's start.
 */
class LeaseKeeper(
    private val workers: WorkerSettings,
    private val otherNodes: Int,
    private val elapsed: () -> Duration,
) {
    /** Made when the first worker is let go: loading the cache's classes would delay the start. */
    private val released by lazy {
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

    /** Workers that this node answered, and when. */
    private val served = ConcurrentHashMap<String, Duration>()

    /** The node has answered the worker, as the leader or for want of one: its lease begins anew. */
    fun served(machine: String) {
        if (served.size >= MAX_WORKERS) served.clear()
        served[machine] = elapsed()
    }

    /**
     * [complete]: up to which moment this node knows every confirmed cancellation, null if it can't say (see
     * `Cancellations`). [isolated]: it has lost the state service and every other node.
     */
    fun renewsLease(machine: String, complete: Duration?, isolated: Boolean): Boolean =
        when {
            // It has read nothing yet, and nobody who has could be asked. The worker's lease has not ended, so a node
            // that knew what was cancelled by then has answered it within a lease, and only newer ones may be left to
            // be carried out.
            complete == null && elapsed() >= workers.cancellationDeadline - workers.lease * 2 - UNKNOWN_MARGIN -> false
            complete == null -> true
            // A lease kept now may last for all its time, and a task cancelled just after that moment has to be gone by
            // then.
            elapsed() >= complete + workers.cancellationDeadline * (1 - DRIFT) - workers.lease - MARGIN -> false
            // One that comes from elsewhere has just found nobody there, and much of its lease has run out on the way.
            isolated && mayRelease() && isServed(machine) -> released.asMap().putIfAbsent(machine, true) != null
            else -> true
        }

    private fun isServed(machine: String) = served[machine].let { it != null && elapsed() - it <= workers.heartbeatInterval * 2 }

    private var redirected = 0

    /** Workers that have come here since the start: as many more are to be expected elsewhere. */
    private val seen = HashSet<String>()
    private var redirectSecond = Duration.ZERO

    /**
     * Whether a worker may be sent to the leader now. When all nodes have just started, all workers come within a
     * second, and a leader that has yet to warm up would answer none of them in time. A young node sends them on
     * by and by and keeps their leases meanwhile.
     */
    @Synchronized
    fun mayRedirect(machine: String): Boolean {
        val now = elapsed()
        if (now > workers.lease) {
            seen.clear()
            return true
        }
        seen.add(machine)
        if (now - redirectSecond >= 1.seconds) {
            redirectSecond = now
            redirected = 0
        }
        return redirected++ < maxOf(SENT_ON_EACH_SECOND, seen.size / SENT_ON_WITHIN_S)
    }

    /**
     * A leader elsewhere could answer the worker, and this node must not keep it from that one. Each worker is let go
     * once in a lease; one that comes back found nobody else and is kept, so that its tasks live on. Only if the lease
     * outlasts a vain round of the other nodes, each of which may time out.
     */
    private fun mayRelease(): Boolean = workers.lease >= (WORKER_TIMEOUT + 1.seconds) * otherNodes + 1.seconds + workers.heartbeatInterval * 1.25

    private companion object {
        const val MAX_WORKERS = 20_000L
        const val SENT_ON_EACH_SECOND = 20

        /**
         * A large fleet is sent on within about so many seconds, well inside a lease: by then the leader must have
         * heard all.
         */
        const val SENT_ON_WITHIN_S = 8

        /** What the worker's clock and this one may drift apart, twice. */
        const val DRIFT = 0.001

        /** What the last node to answer may have been behind, and the margin for timers that are late. */
        val UNKNOWN_MARGIN = 3.seconds

        /** From the decision to the answer, and for timers that are late. */
        val MARGIN = 1.seconds

        /** How long a worker waits for an answer, see PROTOCOL. */
        val WORKER_TIMEOUT = 4.seconds
    }
}
