package glenspool.wire

import glenspool.core.model.FinalState
import glenspool.core.model.JobSpec
import kotlin.time.Duration

/** A submission as the user sent it. [dependencies] names each job once, in the user's order. */
data class Submission(val spec: JobSpec, val dependencies: List<String>)

/** How a job ended. An outcome is stored once and never changes. */
sealed interface JobOutcome {
    val state: FinalState

    /** All [tasks] of the job are done. */
    data class Done(val tasks: Int) : JobOutcome {
        override val state get() = FinalState.DONE
    }

    /** [abortedBy]: the cancelled job that it depended on, if it was not cancelled itself. */
    data class Cancelled(val abortedBy: String? = null) : JobOutcome {
        override val state get() = FinalState.CANCELLED
    }
}

/** The users' requests, and the bodies of the answers to them. */
object UserWire {
    /** Throws [MalformedMessage] if the body is not a valid submission. */
    fun decodeSubmission(body: ByteArray): Submission {
        val fields = Cbor.decodeMap(body)
        return Submission(JobWire.decode(fields), JobWire.decodeDependencies(fields))
    }

    /** Whether a submission names jobs that it depends on. Throws [MalformedMessage] if the body is not a map. */
    fun hasDependencies(body: ByteArray): Boolean = JobWire.hasDependencies(Cbor.decodeMap(body))

    /** Reads what is stored under a job's final key. */
    fun decodeOutcome(stored: Fields): JobOutcome =
        when (FinalStateWire.finalState(stored)) {
            FinalState.DONE -> JobOutcome.Done((stored["tasks"] as? Long ?: 0L).toInt())
            FinalState.CANCELLED -> JobOutcome.Cancelled(FinalStateWire.abortedBy(stored))
        }

    /** What is stored for a cancellation. [at]: time since the epoch. */
    fun encodeCancellation(at: Duration): Fields = mapOf("at" to at.inWholeMilliseconds)

    /** A job that was just accepted. [abortedBy]: a cancelled job that it depends on, so that it will never run. */
    fun acceptedStatus(jobId: String, abortedBy: String?): Fields {
        val stage = if (abortedBy == null) Stage.QUEUED else Stage.CANCELLED
        return JobWire.status(jobId, stage, abortedBy = abortedBy)
    }

    /** A job that has not ended. [unfinishedDependencies]: the jobs it depends on that are not done yet. */
    fun openStatus(jobId: String, tasksDone: Int, tasksRunning: Int, unfinishedDependencies: List<String>): Fields {
        val stage = if (tasksRunning == 0) Stage.QUEUED else Stage.RUNNING
        return JobWire.status(jobId, stage, tasksDone, tasksRunning, unfinishedDependencies)
    }

    fun endedStatus(jobId: String, outcome: JobOutcome): Fields =
        when (outcome) {
            is JobOutcome.Done -> JobWire.status(jobId, Stage.DONE, outcome.tasks, running = 0)
            is JobOutcome.Cancelled -> JobWire.status(jobId, Stage.CANCELLED, abortedBy = outcome.abortedBy)
        }

    /** The refusal of a controller whose build does not know the active feature level, [neededLevel]. */
    fun fenced(reason: String, neededLevel: Int): Fields = error(reason) + ("needs_level" to neededLevel.toLong())

    /** Why a request is refused. */
    fun error(reason: String): Fields = mapOf("error" to reason)
}
