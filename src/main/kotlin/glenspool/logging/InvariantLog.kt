package glenspool.logging

import java.util.concurrent.atomic.LongAdder

/**
 * Reports that a rule of the protocol is broken or is about to be: an error in the log and a count. A report never ends
 * the process or changes what it does. Thread-safe.
 */
object InvariantLog {
    private val log = loggerOf(InvariantLog::class.java)
    private val violations = LongAdder()

    /** The number of violations that this process has reported. */
    val violationCount: Long get() = violations.sum()

    /** Reports a violation of the rule; [details] are parts of the form `key=value`. */
    fun report(rule: String, details: String) {
        violations.increment()
        log.error("INVARIANT VIOLATION rule={} {}", rule, details)
    }
}
