package glenspool.controller

import glenspool.core.model.Report
import glenspool.logging.loggerOf
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A worker's report that waits for the core. It is answered once, by whoever is first. */
class PendingReport internal constructor(val report: Report, internal val since: Duration, private val answer: (Orders?) -> Unit, private val released: () -> Unit) {
    private val done = AtomicBoolean()

    val isAnswered: Boolean get() = done.get()

    /** Null: this node has no orders to give. False: it was answered before. */
    fun complete(orders: Orders?): Boolean {
        if (!done.compareAndSet(false, true)) return false
        released()
        answer(orders)
        return true
    }
}

/**
 * The reports that wait for the core. Only so many may: past that a report is refused here and its worker's lease kept without
 * the core, and the same goes for one that has waited so long that its worker would soon turn elsewhere. [clock]: any steady time.
 */
class PendingReports(private val clock: () -> Duration) {
    private val queue = ConcurrentLinkedQueue<PendingReport>()
    private val waiting = AtomicInteger()

    /** Null: too many wait. */
    fun add(report: Report, answer: (Orders?) -> Unit): PendingReport? {
        if (waiting.incrementAndGet() > MAX_WAITING) {
            waiting.decrementAndGet()
            return null
        }
        return PendingReport(report, clock(), answer) { waiting.decrementAndGet() }.also { queue.add(it) }
    }

    /** Answers those that have waited for too long, and forgets those that are answered. */
    fun expire() {
        while (true) {
            val oldest = queue.peek() ?: return
            if (!oldest.isAnswered) {
                if (clock() - oldest.since < PATIENCE) return
                if (oldest.complete(null)) log.warn("report of {} was not answered in time", oldest.report.machine)
            }
            queue.remove(oldest)
        }
    }

    companion object {
        private val log = loggerOf(PendingReports::class.java)

        /** How many reports may wait at once. */
        const val MAX_WAITING = 128

        /** A worker waits 4 s for an answer; the rest is for the way to it and for timers that are late. */
        val PATIENCE: Duration = 2500.milliseconds
    }
}
