package glenspool.api

import glenspool.logging.loggerOf
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.Duration

/**
 * Logs on what grounds the leases of workers are renewed or refused: each decision at level debug, and changes from one
 * kind of decision to another at level info. Thread-safe.
 *
 * @property uptime the time since the node's start
 */
internal class LeaseDecisionLog(private val uptime: () -> Duration) {
    private val last = AtomicReference<LeaseDecision>()

    /** @param cancellationsCompleteUntil see [LeaseRenewalPolicy.decide] */
    fun record(machine: String, decision: LeaseDecision, cancellationsCompleteUntil: Duration?) {
        log.debug("lease machine={} decision={}", machine, decision)
        // Refusals once per lease alternate with renewals and say nothing new about the node.
        if (decision == LeaseDecision.REFUSED_ONCE || last.getAndSet(decision) == decision) return
        val now = uptime()
        log.info(
            "leases decision={} cancellations-age={} uptime={} machine={}",
            decision, cancellationsCompleteUntil?.let { now - it }, now, machine,
        )
    }

    private companion object {
        val log = loggerOf(LeaseDecisionLog::class.java)
    }
}
