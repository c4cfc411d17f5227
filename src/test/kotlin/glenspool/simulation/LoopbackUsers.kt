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
 * Users of a [LoopbackService]. One user continuously submits one-task jobs, some with a dependency, and cancels some
 * of them. Another user polls until every accepted job has its final state.
 *
 * @property isSubmitting whether jobs are still submitted
 * @property onFailure called when a response breaks a rule
 */
internal class LoopbackUsers(
    private val history: JobHistory,
    private val http: HttpClient,
    private val anyNode: () -> String,
    @Volatile private var isSubmitting: Boolean,
    private val onFailure: (IllegalStateException) -> Unit,
) {
    /** The number of submissions that were answered with a request to retry later. */
    @Volatile
    var postponed = 0
        private set

    private val threads =
        listOf(
            thread(name = "submissions") { reportingFailures(::submitAll) },
            thread(name = "polls") { reportingFailures(::pollAll) },
        )

    /** Whether users still submit jobs or wait for final states. */
    val areActive: Boolean get() = threads.any { it.isAlive }

    fun stopSubmitting() {
        isSubmitting = false
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
        while (isSubmitting) {
            val id = jobId(++number)
            val dependencies = if (number % JOBS_PER_DEPENDENCY == 0) listOf(jobId(number - 1)) else null
            if (submit(id, dependencies) && number % JOBS_PER_CANCELLATION == 0) cancel(id)
            pause(SUBMIT_INTERVAL)
        }
    }

    private fun jobId(number: Int) = "run-%06d".format(number)

    /**
     * Submits a job to a random controller, and retries for up to [RETRY_TIMEOUT] after a rejection or no response.
     * Returns true if the job was accepted.
     */
    private fun submit(id: String, dependencies: List<String>?): Boolean {
        val spec =
            job(
                id, JobKind.ARRAY, 1, Resources(1.0, 1.0, 4.0), "a",
                estimatedDuration = 1.seconds, imageGb = 0.0,
            )
        val dependencyField = if (dependencies == null) emptyMap() else mapOf("awaits" to dependencies)
        val startedAt = TimeSource.Monotonic.markNow()
        while (startedAt.elapsedNow() < RETRY_TIMEOUT) {
            val status = post("/api/jobs", JobWire.encode(spec) + dependencyField)?.status
            if (status in ACCEPTED) {
                history.add { HistoryEvent.Accepted(it, id) }
                return true
            }
            // A job whose dependency was cancelled or never accepted is rejected permanently, so it is not retried.
            if (status == 422 || status == 400) return false
            if (status == 503) postponed++
            pause(RETRY_INTERVAL)
        }
        return false
    }

    /** Submits a job once. Returns true if it was accepted. */
    fun submitOnce(spec: JobSpec): Boolean = post("/api/jobs", JobWire.encode(spec))?.status in ACCEPTED

    private fun cancel(id: String) {
        val startedAt = TimeSource.Monotonic.markNow()
        while (startedAt.elapsedNow() < RETRY_TIMEOUT) {
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
        while (isSubmitting || history.acceptedJobs.size > history.finishedJobs.size) {
            (history.acceptedJobs - history.finishedJobs).forEach(::poll)
            pause(POLL_INTERVAL)
        }
    }

    private fun poll(id: String) {
        val answer = http.get(anyNode(), "/api/jobs/$id", 2.seconds) as? CallResult.Response ?: return
        check(answer.status != 404) { "job $id was accepted, but a controller answers that it is unknown" }
        val stage = answer.body["stage"]
        val hasEnded = answer.status == 200 && (stage == "done" || stage == "aborted")
        if (hasEnded) history.add { HistoryEvent.FinalStateReceived(it, id, stage as String) }
    }

    companion object {
        private const val JOBS_PER_DEPENDENCY = 5
        private const val JOBS_PER_CANCELLATION = 7
        private val ACCEPTED = setOf(200, 201)
        private val SUBMIT_INTERVAL = 60.milliseconds
        private val RETRY_INTERVAL = 100.milliseconds

        /** The time for which a user retries a request. */
        private val RETRY_TIMEOUT = 40.seconds
        val POLL_INTERVAL = 50.milliseconds

        fun pause(time: Duration) = LockSupport.parkNanos(time.inWholeNanoseconds)
    }
}
