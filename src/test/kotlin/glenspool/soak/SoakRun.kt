package glenspool.soak

import glenspool.http.CallResult
import glenspool.http.HttpClient
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The outcome of one run. */
internal data class SoakResult(val seed: Long, val violations: List<String>, val summary: String)

/** One run: controllers, users and troubles of one seed, checked from outside. */
internal class SoakRun(private val settings: SoakSettings) {
    /** Jobs whose tasks were found after the deadline of their cancellation. */
    private val reportedJobs = HashSet<String>()

    fun play(): SoakResult =
        SoakCluster(settings).use { cluster ->
            val checker = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }
            cluster.controllers.values.forEach { it.start() }
            awaitReady(cluster)
            checker.scheduleWithFixedDelay({ check(cluster) }, 0, CHECK_MILLIS, TimeUnit.MILLISECONDS)
            SoakUsers(cluster).use { users ->
                users.start()
                Thread.sleep(WARM_UP.inWholeMilliseconds)
                SoakTroubles(cluster, users).play(cluster.history.now)
                cluster.controllers.values.forEach { it.resume() }
                cluster.controllers.values.forEach { it.start() }
                users.askAboutAll(ANSWER_LIMIT)
                // Every cancellation that was confirmed has to be seen at its deadline.
                Thread.sleep((settings.cancellationDeadline + 1.seconds).inWholeMilliseconds)
            }
            checker.shutdownNow()
            val ownFindings = cluster.logLinesWith("INVARIANT VIOLATION")
            ownFindings.take(MAX_FINDINGS).forEach { cluster.history.violation("own check", it) }
            result(cluster)
        }

    private fun awaitReady(cluster: SoakCluster) {
        val http = HttpClient(500.milliseconds)
        while (cluster.history.now < START_LIMIT) {
            if (cluster.addresses.values.all {
                    (http.get(it, "/ready", 1.seconds) as? CallResult.Response)?.status ==
                        200
                }
            ) {
                return
            }
            Thread.sleep(CHECK_MILLIS)
        }
        cluster.history.violation("start", "the controllers are not ready after $START_LIMIT")
    }

    private fun check(cluster: SoakCluster) {
        val overdue = cluster.history.overdueTasks(settings.cancellationDeadline)
        for ((key, machines) in overdue) {
            if (reportedJobs.add(key.job)) {
                val states = cluster.fleet.describe(machines)
                cluster.history.violation("ran_cancelled", "$key after ${settings.cancellationDeadline} on $states")
            }
        }
    }

    private fun result(cluster: SoakCluster): SoakResult {
        val history = cluster.history
        val summary =
            "jobs=${history.acceptedAt.size} cancelled=${history.cancelledAt.size} starts=${history.starts} " +
                "machines=${cluster.fleet.size} logs=${cluster.logs}"
        return SoakResult(settings.seed, history.violations.toList(), summary)
    }

    private companion object {
        const val CHECK_MILLIS = 200L
        const val MAX_FINDINGS = 5
        val START_LIMIT = 60.seconds
        val WARM_UP = 8.seconds
        val ANSWER_LIMIT = 60.seconds
    }
}
