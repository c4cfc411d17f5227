package glenspool.api

import glenspool.wire.JobOutcome
import org.http4k.core.Status

/** What a user's request comes to, before it is turned into an HTTP response (see `toResponse`). */
internal sealed interface UserAnswer {
    /**
     * The job was stored by this request. [abortedBy]: a cancelled job that it depends on; it was accepted all the
     * same, but will never run.
     */
    data class Accepted(val jobId: String, val abortedBy: String?) : UserAnswer

    /** The job has not ended. [unfinishedDependencies]: the jobs it depends on that are not done yet. */
    data class Live(
        val jobId: String,
        val tasksDone: Int,
        val tasksRunning: Int,
        val unfinishedDependencies: List<String>,
    ) : JobQueryAnswer

    data class Ended(val jobId: String, val outcome: JobOutcome) : JobQueryAnswer

    /** No job of this id was accepted at some moment after the request came. */
    data class NotFound(val jobId: String) : JobQueryAnswer

    /** The request is wrong, and repeating it will not help. */
    data class Refused(val status: Status, val reason: String) : Refusal

    /** The request can't be decided now; the user is asked to repeat it. */
    data object TryLater :
        JobQueryAnswer,
        Refusal

    /** The key-value store's rate limit left no room for the request; the user is asked to repeat it. */
    data object RateLimited : UserAnswer

    /** This node can't reach the key-value store; another one may answer instead. */
    data object Unreachable : JobQueryAnswer
}

/** The state of a job, or why it can't be told. */
internal sealed interface JobQueryAnswer : UserAnswer

/** Why a submission is not accepted, provided that the job is not known already. */
internal sealed interface Refusal : UserAnswer
