package glenspool.controller

import glenspool.core.model.Heartbeat
import glenspool.logging.loggerOf
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A worker's report that waits for the core. It is answered once, by whoever is first; the core takes it in even if it
 * was answered before, since it still tells that the machine is alive.
 */
class PendingHeartbeat internal constructor(
    val heartbeat: Heartbeat,
    internal val since: Duration,
    private val answer: (WorkerCommands?) -> Unit,
) {
    private val answered = AtomicBoolean()

    /** The core has taken it in. */
    @Volatile
    internal var taken = false

    internal val isAnswered: Boolean get() = answered.get()

    /** Null: this node has no orders to give. False: it was answered before. */
    fun complete(orders: WorkerCommands?): Boolean {
        if (!answered.compareAndSet(false, true)) return false
        answer(orders)
        return true
    }
}

/**
 * The reports that wait for the core. Only so many may: past that a report is refused here and its worker's lease kept
 * without the core, and the same goes for one that has waited so long that its worker would soon turn elsewhere.
 * [clock]: any steady time.
 */
class PendingHeartbeats(private val clock: () -> Duration) {
    /** In the order in which they came. */
    private val queue = ConcurrentLinkedQueue<PendingHeartbeat>()
    private val waiting = AtomicInteger()
    private val refused = AtomicBoolean()

    /** Null: too many wait. */
    fun add(heartbeat: Heartbeat, answer: (WorkerCommands?) -> Unit): PendingHeartbeat? {
        if (waiting.incrementAndGet() > MAX_WAITING) {
            waiting.decrementAndGet()
            refused.set(true)
            return null
        }
        return PendingHeartbeat(heartbeat, clock(), answer).also { queue.add(it) }
    }

    /** The core takes [pending] in. */
    fun take(pending: PendingHeartbeat) {
        if (pending.taken) return
        pending.taken = true
        waiting.decrementAndGet()
        forgetTaken()
    }

    private fun forgetTaken() {
        while (queue.peek()?.taken == true) queue.poll()
    }

    /** The core will take none of them in any more. */
    fun drop() {
        for (pending in queue) {
            take(pending)
            pending.complete(null)
        }
    }

    /**
     * How far the core is behind: how long the oldest report has waited for it, or more if some were refused since the
     * last call.
     */
    fun backlog(): Duration = if (refused.getAndSet(false)) maxOf(oldestWait(), PATIENCE) else oldestWait()

    /** How long the oldest report has waited for the core. */
    fun oldestWait(): Duration = queue.firstOrNull { !it.taken }?.let { clock() - it.since } ?: Duration.ZERO

    /** Answers those that have waited for too long. */
    fun expire() {
        for (pending in queue) {
            if (pending.taken || pending.isAnswered) continue
            if (clock() - pending.since < PATIENCE) return
            if (pending.complete(null)) log.warn("report of {} was not answered in time", pending.heartbeat.machine)
        }
    }

    companion object {
        private val log = loggerOf(PendingHeartbeats::class.java)

        /** How many reports may wait at once. */
        const val MAX_WAITING = 128

        /** A worker waits 4 s for an answer; the rest is for the way to it and for timers that are late. */
        val PATIENCE: Duration = 2500.milliseconds
    }
}
