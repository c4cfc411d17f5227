package glenspool.soak

import glenspool.core.model.JobKind
import glenspool.core.model.Resources
import glenspool.http.CallResult
import glenspool.http.HttpClient
import glenspool.simulation.job
import glenspool.wire.Fields
import glenspool.wire.JobWire
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Stand-in users that submit, cancel, ask and repeat at random controllers, and report every answer that is older than
 * one they got before.
 */
internal class SoakUsers(private val cluster: SoakCluster) : AutoCloseable {
    private val settings = cluster.settings
    private val history = cluster.history
    private val random = Random(settings.seed + 1)
    private val http = HttpClient(500.milliseconds)
    private val executor = Executors.newScheduledThreadPool(THREADS) { Thread(it).apply { isDaemon = true } }
    private val doneJobs = ConcurrentHashMap.newKeySet<String>()
    private var submitted = 0

    @Volatile
    private var isActive = true

    /** When each job was last answered. */
    private val answeredAt = ConcurrentHashMap<String, Duration>()

    /** Begins submitting, cancelling and asking. */
    fun start() {
        repeat(settings.workers / MACHINES_PER_INITIAL_JOB) { submitNew() }
        every(SUBMIT_INTERVAL) { if (isActive) submitNew() }
        every(QUERY_INTERVAL) { if (isActive) repeat(QUERIES) { randomJob()?.let(::query) } }
        every(REPEAT_INTERVAL) { if (isActive) randomJob()?.let { submit(it, tries = 1) } }
    }

    private fun every(interval: Duration, action: () -> Unit) {
        val guarded = Runnable { runCatching(action).onFailure { history.event("a user failed: $it") } }
        executor.scheduleAtFixedRate(guarded, 0, interval.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun after(delay: Duration, action: () -> Unit) {
        executor.schedule({ runCatching(action) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    @Synchronized
    private fun randomJob(): String? = history.acceptedAt.keys.randomOrNull(random)

    @Synchronized
    private fun randomNode(): String = cluster.addresses.values.random(random)

    private fun submitNew() {
        val id: String
        val isShort: Boolean
        val cancelDelay: Duration?
        synchronized(this) {
            id = "run-%06d".format(++submitted)
            isShort = random.nextInt(JOBS_PER_SHORT_JOB) == 0
            cancelDelay = if (random.nextBoolean()) random.nextLong(500, MAX_CANCEL_DELAY_MILLIS).milliseconds else null
        }
        cluster.fleet.runTimes[id] = if (isShort) SHORT_RUN_TIME else LONG_RUN_TIME
        after(Duration.ZERO) { if (submit(id, MAX_TRIES) && cancelDelay != null) after(cancelDelay) { cancel(id) } }
    }

    /** Cancels [count] accepted jobs that are not over, all at once. */
    fun cancelMany(count: Int) {
        val jobs = history.acceptedAt.keys - history.cancelledAt.keys - doneJobs
        jobs.shuffled(random).take(count).forEach { after(Duration.ZERO) { cancel(it) } }
    }

    private fun submit(id: String, tries: Int): Boolean {
        repeat(tries) {
            val known = knownStage(id)
            val answer = post("/api/jobs", JobWire.encode(description(id)))
            if (answer != null && answer.status in ACCEPTED) {
                history.acceptedAt.putIfAbsent(id, history.now)
                checkStage(id, answer, known)
                return true
            }
            if (answer?.status == BAD_REQUEST || answer?.status == UNPROCESSABLE) {
                history.violation("forgotten", "submission of $id got ${answer.status}")
                return false
            }
            pause()
        }
        return false
    }

    private fun description(id: String) =
        job(
            id, JobKind.ARRAY, 1 + id.hashCode().mod(MAX_TASKS), WHOLE_MACHINE, "a",
            estimatedDuration = 5.seconds, imageGb = 0.0,
        )

    private fun cancel(id: String) {
        repeat(MAX_TRIES) {
            val known = knownStage(id)
            val answer = post("/api/jobs/$id/withdraw", emptyMap())
            if (answer?.status == OK) return checkStage(id, answer, known)
            pause()
        }
    }

    private fun pause() = Thread.sleep(RETRY_MILLIS)

    private fun query(id: String) {
        val known = knownStage(id)
        val answer = http.get(randomNode(), "/api/jobs/$id", 2.seconds) as? CallResult.Response ?: return
        if (answer.status == NOT_FOUND) history.violation("forgotten", "$id was accepted and is unknown")
        if (answer.status == OK) checkStage(id, answer, known)
    }

    /** The final stage of which some user has been told; null if there was none yet. */
    private fun knownStage(id: String): String? =
        when {
            history.cancelledAt.containsKey(id) -> CANCELLED
            id in doneJobs -> DONE
            else -> null
        }

    /** Checks an answer to a request that was sent when users had been told [known]. */
    private fun checkStage(id: String, answer: CallResult.Response, known: String?) {
        answeredAt[id] = history.now
        val stage = answer.body["stage"]
        if (known != null && stage != known) history.violation("older answer", "$id was $known and is called $stage")
        if (stage == DONE) doneJobs.add(id)
        val isNewlyCancelled = stage == CANCELLED && history.cancelledAt.putIfAbsent(id, history.now) == null
        if (isNewlyCancelled) history.event("$id is cancelled")
    }

    private fun post(path: String, body: Fields): CallResult.Response? =
        http.post(randomNode(), path, body, 5.seconds) as? CallResult.Response

    /** Stops the users and asks about every accepted job until each was answered since, for [limit] at most. */
    fun askAboutAll(limit: Duration) {
        isActive = false
        val startedAt = history.now
        while (history.now - startedAt < limit) {
            val open = history.acceptedAt.keys.filter { (answeredAt[it] ?: Duration.ZERO) < startedAt }
            if (open.isEmpty()) return
            open.forEach(::query)
        }
        val left = history.acceptedAt.keys.filter { (answeredAt[it] ?: Duration.ZERO) < startedAt }
        if (left.isNotEmpty()) {
            history
                .violation("forgotten", "${left.size} jobs unanswered for $limit, such as ${left[0]}")
        }
    }

    override fun close() {
        isActive = false
        executor.shutdownNow()
    }

    private companion object {
        const val CANCELLED = "aborted"
        const val DONE = "done"
        const val OK = 200
        const val BAD_REQUEST = 400
        const val NOT_FOUND = 404
        const val UNPROCESSABLE = 422
        const val THREADS = 48

        /** So that most machines of the initial fleet have work. */
        const val MACHINES_PER_INITIAL_JOB = 5
        const val QUERIES = 4
        const val MAX_TRIES = 40
        const val MAX_TASKS = 6
        const val RETRY_MILLIS = 1_000L
        const val JOBS_PER_SHORT_JOB = 3
        const val MAX_CANCEL_DELAY_MILLIS = 15_000L
        val WHOLE_MACHINE = Resources(4.0, 4.0, 16.0)
        val ACCEPTED = setOf(200, 201)
        val SUBMIT_INTERVAL = 250.milliseconds
        val QUERY_INTERVAL = 100.milliseconds
        val REPEAT_INTERVAL = 700.milliseconds
        val SHORT_RUN_TIME = 3.seconds
        val LONG_RUN_TIME = 600.seconds
    }
}
