package glenspool.simulation

import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.Resources
import glenspool.http.CallResult
import glenspool.http.HttpClient
import glenspool.wire.JobWire
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Users of a [LoopbackService]: while [loading], one submits jobs of one task all the time, some with a dependency, and
 * cancels some; another polls until each accepted job has its final state. [onFailure]: an answer broke a rule.
 */
internal class LoopbackUsers(
    private val history: JobHistory,
    private val http: HttpClient,
    private val anyNode: () -> String,
    @Volatile private var loading: Boolean,
    private val onFailure: (IllegalStateException) -> Unit,
) {
    /** Submissions that were answered with a request to repeat them later. */
    @Volatile
    var postponed = 0
        private set

    private val threads =
        listOf(
            thread(name = "submissions") { reportingFailures(::submitAll) },
            thread(name = "polls") { reportingFailures(::pollAll) },
        )

    /** Whether users still submit, or wait for final states. */
    val areActive: Boolean get() = threads.any { it.isAlive }

    fun stopSubmitting() {
        loading = false
    }

    private fun reportingFailures(body: () -> Unit) {
        try {
            body()
        } catch (e: IllegalStateException) {
            onFailure(e)
        }
    }

    private fun submitAll() {
        var number = 0
        while (loading) {
            val id = jobId(++number)
            val dependencies = if (number % DEPENDENCY_EVERY == 0) listOf(jobId(number - 1)) else null
            if (submit(id, dependencies) && number % CANCEL_EVERY == 0) cancel(id)
            pause(SUBMIT_INTERVAL)
        }
    }

    private fun jobId(number: Int) = "run-%06d".format(number)

    /** Submits a job at any controller, again after a refusal, for a while; true if it was accepted. */
    private fun submit(id: String, dependencies: List<String>?): Boolean {
        val spec =
            job(
                id, JobKind.ARRAY, 1, Resources(1.0, 1.0, 4.0), "a",
                estimatedDuration = 1.seconds, imageGb = 0.0,
            )
        val awaits = if (dependencies == null) emptyMap() else mapOf("awaits" to dependencies)
        val begun = TimeSource.Monotonic.markNow()
        while (begun.elapsedNow() < PATIENCE) {
            val status = post("/api/jobs", JobWire.encode(spec) + awaits)?.status
            if (status in ACCEPTED) {
                history.add { HistoryEvent.Accepted(it, id) }
                return true
            }
            // A job whose dependency was cancelled or never accepted is refused for good.
            if (status == 422 || status == 400) return false
            if (status == 503) postponed++
            pause(RETRY_INTERVAL)
        }
        return false
    }

    /** Submits a job once; true if it was accepted. */
    fun submitOnce(spec: JobSpec): Boolean = post("/api/jobs", JobWire.encode(spec))?.status in ACCEPTED

    private fun cancel(id: String) {
        val begun = TimeSource.Monotonic.markNow()
        while (begun.elapsedNow() < PATIENCE) {
            val answer = post("/api/jobs/$id/withdraw", emptyMap())
            if (answer?.status == 200) {
                if (answer.body["stage"] == "aborted") history.add { HistoryEvent.CancelConfirmed(it, id) }
                return
            }
            pause(RETRY_INTERVAL)
        }
    }

    private fun post(path: String, body: Map<String, Any?>): CallResult.Response? =
        http.post(anyNode(), path, body, 5.seconds) as? CallResult.Response

    private fun pollAll() {
        while (loading || history.acceptedJobs.size > history.finishedJobs.size) {
            (history.acceptedJobs - history.finishedJobs).forEach(::poll)
            pause(POLL_INTERVAL)
        }
    }

    private fun poll(id: String) {
        val answer = http.get(anyNode(), "/api/jobs/$id", 2.seconds) as? CallResult.Response ?: return
        check(answer.status != 404) { "$id was accepted and is unknown" }
        val stage = answer.body["stage"]
        val hasEnded = answer.status == 200 && (stage == "done" || stage == "aborted")
        if (hasEnded) history.add { HistoryEvent.FinalStateReceived(it, id, stage as String) }
    }

    companion object {
        private const val DEPENDENCY_EVERY = 5
        private const val CANCEL_EVERY = 7
        private val ACCEPTED = setOf(200, 201)
        private val SUBMIT_INTERVAL = 60.milliseconds
        private val RETRY_INTERVAL = 100.milliseconds

        /** How long a user repeats a request. */
        private val PATIENCE = 40.seconds
        val POLL_INTERVAL = 50.milliseconds

        fun pause(time: Duration) = LockSupport.parkNanos(time.inWholeNanoseconds)
    }
}
