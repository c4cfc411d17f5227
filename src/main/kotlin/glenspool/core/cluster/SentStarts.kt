package glenspool.core.cluster

import glenspool.core.model.TaskKey
import kotlin.time.Duration

/** A start command that was sent to a machine. */
data class SentStart(val key: TaskKey, val attempt: Long, val token: Long, val incarnation: Long, val sentAt: Duration)

/**
 * The starts sent to one machine that its worker may still execute. An answer shows that a start was executed once, but
 * the network may deliver another copy at any later time. The worker executes a copy if token and incarnation match and
 * it does not know the attempt. A start therefore counts until the worker has shown a higher token or a newer
 * incarnation, with which it rejects all copies.
 */
class SentStarts {
    private data class Attempt(val key: TaskKey, val number: Long)

    private val unansweredStarts = ArrayList<SentStart>()
    private val answeredStarts = HashMap<Attempt, SentStart>()

    /** Starts whose outcome is unknown. */
    val unanswered: List<SentStart> get() = unansweredStarts

    /** Records a start that is sent. */
    fun add(start: SentStart) {
        unansweredStarts.add(start)
    }

    /** Records that the worker has executed this start, which is one of the request sent at [sentAt]. */
    fun markExecuted(key: TaskKey, attempt: Long, sentAt: Duration?) {
        val executed = unansweredStarts.find { it.key == key && it.attempt == attempt && it.sentAt == sentAt } ?: return
        unansweredStarts.remove(executed)
        answeredStarts[Attempt(key, attempt)] = executed
    }

    /** Removes the starts of the request sent at [sentAt] that the worker rejected or that were never sent to it. */
    fun dropUnexecuted(sentAt: Duration?) {
        unansweredStarts.removeIf { it.sentAt == sentAt }
    }

    /** Removes the starts that a worker rejects which has shown this token and incarnation. */
    fun dropRejected(token: Long, incarnation: Long) {
        unansweredStarts.removeIf { it.isRejectedWith(token, incarnation) }
        answeredStarts.values.removeIf { it.isRejectedWith(token, incarnation) }
    }

    private fun SentStart.isRejectedWith(token: Long, incarnation: Long) =
        this.token < token || this.incarnation < incarnation

    /** Returns the start of this attempt that the worker may still execute; null if there is none. */
    fun find(key: TaskKey, attempt: Long): SentStart? =
        unansweredStarts.lastOrNull { it.key == key && it.attempt == attempt } ?: answeredStarts[Attempt(key, attempt)]

    /** Whether a start of a task of the job has no answer. */
    fun hasUnanswered(job: String): Boolean = unansweredStarts.any { it.key.job == job }

    /** Whether a start of this task has no answer. */
    fun hasUnanswered(key: TaskKey): Boolean = unansweredStarts.any { it.key == key }
}
