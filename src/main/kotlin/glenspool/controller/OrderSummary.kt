package glenspool.controller

import glenspool.core.OrderCounts
import glenspool.core.Scheduler
import glenspool.logging.loggerOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Logs once a minute which orders the leader has issued in its term; the minute runs on when a new term begins.
 * Confined to the core thread.
 */
internal class OrderSummary {
    private var loggedAt = Duration.ZERO

    fun logIfDue(scheduler: Scheduler) {
        if (scheduler.now - loggedAt < LOG_INTERVAL) return
        loggedAt = scheduler.now
        val counts = scheduler.orderCounts.snapshot()
        if (counts.isEmpty()) return
        log.info("orders token={} {}", scheduler.token, OrderCounts.describe(counts))
        log.info("fencing token={} {}", scheduler.token, scheduler.fencingCounts)
    }

    private companion object {
        val log = loggerOf(OrderSummary::class.java)
        val LOG_INTERVAL: Duration = 60.seconds
    }
}
