package glenspool.wire

import glenspool.core.model.FinalState
import glenspool.core.model.JobSpec
import kotlin.time.Duration

/** A user's submission. [dependencies] has no duplicates and keeps the user's order. */
data class Submission(val spec: JobSpec, val dependencies: List<String>)

/** The outcome of an ended job. An outcome is stored once and never changes. */
sealed interface JobOutcome {
    val state: FinalState

    /** All [tasks] of the job are done. */
    data class Done(val tasks: Int) : JobOutcome {
        override val state get() = FinalState.DONE
    }

    /**
     * The job was cancelled.
     *
     * @property abortedBy the dependency whose cancellation cancelled the job; null if the job itself was cancelled
     */
    data class Cancelled(val abortedBy: String? = null) : JobOutcome {
        override val state get() = FinalState.CANCELLED
    }
}

/** The users' requests, and the bodies of the answers to them. */
object UserWire {
    /** @throws MalformedMessage if the body is not a valid submission */
    fun decodeSubmission(body: ByteArray): Submission {
        val fields = Cbor.decodeMap(body)
        return Submission(JobWire.decode(fields), JobWire.decodeDependencies(fields))
    }

    /**
     * Whether a submission names dependencies.
     *
     * @throws MalformedMessage if the body is not a map
     */
    fun hasDependencies(body: ByteArray): Boolean = JobWire.hasDependencies(Cbor.decodeMap(body))

    /** Decodes the value that is stored under the key of a job's final state. */
    fun decodeOutcome(stored: Fields): JobOutcome =
        when (FinalStateWire.finalState(stored)) {
            FinalState.DONE -> JobOutcome.Done((stored["tasks"] as? Long ?: 0L).toInt())
            FinalState.CANCELLED -> JobOutcome.Cancelled(FinalStateWire.abortedBy(stored))
        }

    /**
     * Encodes the stored form of a cancellation.
     *
     * @param at the wall-clock time since the epoch
     */
    fun encodeCancellation(at: Duration): Fields = mapOf("at" to at.inWholeMilliseconds)

    /**
     * The status of a job that was just accepted.
     *
     * @param abortedBy a cancelled dependency, because of which the job will never run; null if there is none
     */
    fun acceptedStatus(jobId: String, abortedBy: String?): Fields {
        val stage = if (abortedBy == null) Stage.QUEUED else Stage.CANCELLED
        return JobWire.status(jobId, stage, abortedBy = abortedBy)
    }

    /**
     * The status of a job that has not ended.
     *
     * @param unfinishedDependencies the dependencies that are not done yet
     */
    fun liveStatus(jobId: String, tasksDone: Int, tasksRunning: Int, unfinishedDependencies: List<String>): Fields {
        val stage = if (tasksRunning == 0) Stage.QUEUED else Stage.RUNNING
        return JobWire.status(jobId, stage, tasksDone, tasksRunning, unfinishedDependencies)
    }

    /** The status of a job that has ended. */
    fun endedStatus(jobId: String, outcome: JobOutcome): Fields =
        when (outcome) {
            is JobOutcome.Done -> JobWire.status(jobId, Stage.DONE, outcome.tasks, running = 0)
            is JobOutcome.Cancelled -> JobWire.status(jobId, Stage.CANCELLED, abortedBy = outcome.abortedBy)
        }

    /** The rejection by a controller whose build does not know the active feature level [neededLevel]. */
    fun fenced(reason: String, neededLevel: Int): Fields = error(reason) + ("needs_level" to neededLevel.toLong())

    /** The body of an answer that rejects a request. */
    fun error(reason: String): Fields = mapOf("error" to reason)
}
