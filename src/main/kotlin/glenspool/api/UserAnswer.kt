package glenspool.api

import glenspool.wire.JobOutcome
import org.http4k.core.Status

/** The result of a user's request, which `toResponse` converts to an HTTP response. */
internal sealed interface UserAnswer {
    /**
     * The job was stored by this request.
     *
     * @property abortedBy a cancelled job that the job depends on; the job was accepted nevertheless, but will never
     *   run
     */
    data class Accepted(val jobId: String, val abortedBy: String?) : UserAnswer

    /**
     * The job has not ended.
     *
     * @property unfinishedDependencies the jobs that it depends on and that are not done yet
     */
    data class Live(
        val jobId: String,
        val tasksDone: Int,
        val tasksRunning: Int,
        val unfinishedDependencies: List<String>,
    ) : JobQueryAnswer

    data class Ended(val jobId: String, val outcome: JobOutcome) : JobQueryAnswer

    /** At some moment after the request arrived, no job with this id had been accepted. */
    data class NotFound(val jobId: String) : JobQueryAnswer

    /** The request is invalid, and repeating it does not help. */
    data class Refused(val status: Status, val reason: String) : Refusal

    /** The request can't be decided now; the user is asked to repeat it. */
    data object TryLater :
        JobQueryAnswer,
        Refusal

    /** The key-value store's rate limit refused the request; the user is asked to repeat it. */
    data object RateLimited : UserAnswer

    /** This node can't reach the key-value store; another node may be able to answer instead. */
    data object Unreachable : JobQueryAnswer
}

/** The state of a job, or the reason why it can't be determined. */
internal sealed interface JobQueryAnswer : UserAnswer

/** The reason why a submission is not accepted, which applies only if the job was not accepted before. */
internal sealed interface Refusal : UserAnswer
