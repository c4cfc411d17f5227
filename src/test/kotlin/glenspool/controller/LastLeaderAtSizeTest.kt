package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.core.cluster.Cancellations
import glenspool.core.cluster.CancelledWorkDeadline
import glenspool.core.cluster.OverdueMachine
import glenspool.http.HttpClient
import glenspool.simulation.HangingWorkers
import glenspool.simulation.LoopbackLeader
import glenspool.simulation.StandInCloud
import glenspool.simulation.startInterruptible
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Tests that the controller that led until the store failed ends the cancelled work that it knows of in time. */
class LastLeaderAtSizeTest {
    private val hanging = (1..HANGING_MACHINES).map { "i-%06d".format(it) }
    private val startedAt = TimeSource.Monotonic.markNow()
    private val deleted = ConcurrentLinkedQueue<String>()

    @Test
    fun `500 hanging machines that the last leader reports near the deadline are gone before it`() {
        val leader = LoopbackLeader()
        StandInCloud(CLOUD_RPS, CLOUD_LATENCY).use { cloud ->
            hanging.forEach { cloud.add(it, it) }
            enforcement(leader, cloud).use { enforcement ->
                val thread = startInterruptible(enforcement::run)
                reportUntilDeadline(enforcement, cloud)
                thread.interrupt()
            }
            val left = hanging.count(cloud::has)
            assertEquals(0, left, "$left of ${hanging.size} machines are not deleted in time")
            assertEquals(hanging.toSet(), deleted.toSet())
        }
        leader.close()
    }

    private fun enforcement(leader: LoopbackLeader, cloud: StandInCloud) =
        CancelledWorkEnforcement(
            DEADLINE,
            Cancellations("boot", emptyList(), DEADLINE, startedAt::elapsedNow),
            leader.cache,
            CloudClient(cloud.address, HttpClient(2.seconds), CLOUD_RPS / NODES),
            HangingWorkers { true },
            hasLeader = { false },
            wallTime = ::sinceCancellation,
            metrics = CancelledWorkMetrics(startedAt::elapsedNow),
            onDeleted = deleted::addAll,
        )

    private fun sinceCancellation(): Duration = DEADLINE * FIRST_REPORT_SHARE + startedAt.elapsedNow()

    /** Reports the machines that are left as often as the core does. */
    private fun reportUntilDeadline(enforcement: CancelledWorkEnforcement, cloud: StandInCloud) {
        var nextReportAt = Duration.ZERO
        while (sinceCancellation() < DEADLINE && deleted.size < hanging.size) {
            if (sinceCancellation() >= nextReportAt) {
                nextReportAt = sinceCancellation() + CancelledWorkDeadline.REPORT_INTERVAL
                val left = hanging.filter(cloud::has)
                enforcement.report(left.map { OverdueMachine(it, it, setOf("a"), sinceCancellation()) })
            }
            LockSupport.parkNanos(POLL_INTERVAL.inWholeNanoseconds)
        }
    }

    private companion object {
        const val NODES = 3
        const val HANGING_MACHINES = 500
        const val CLOUD_RPS = 10.0
        val CLOUD_LATENCY = 250.milliseconds
        val POLL_INTERVAL = 50.milliseconds

        /** The shorter of the deadlines of the large deployments. */
        val DEADLINE = 49.seconds

        /** The core reports machines from this share of the deadline on, see `CancelledWorkDeadline`. */
        const val FIRST_REPORT_SHARE = 0.8
    }
}
