package glenspool.core

import glenspool.core.model.JobKind
import glenspool.core.model.StartTask
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val WAITING_HOOKS =
    SchedulerHooks(
        newWorkRequiresWorkerHeartbeat = true,
        missingTaskPolicy = { MissingTaskPolicy.RESTORE_AND_WAIT },
    )

/** Tests for how long a missing task waits until it can be started again on its machine, and that the wait ends. */
class WaitForRestoreTest : SchedulerTestBase(config(), WAITING_HOOKS) {
    private val restoringStart = StartTask(TaskKey("a", 0), 3, StartCause.RESTORED)
    private val wait = config().lease / 2

    private fun submitWithStoredPlacement(kind: JobKind = JobKind.ARRAY) {
        step { machineTypesRead(listOf(bigType)) }
        submit(job("a", kind), listOf(StoredPlacement(0, 3, "m1")), lastAttempt = 3)
    }

    private fun answerProbe(): List<Action> = step { probeEnded("m1", heartbeat("m1")) }

    private fun isPlaced() = scheduledJob("a").placements.isNotEmpty()

    /** Answers a probe every second for [time], as long as the task keeps its placement. Returns the time this took. */
    private fun answerProbesFor(time: Duration): Duration {
        val startedAt = now
        while (now - startedAt < time && isPlaced()) {
            answerProbe()
            advanceTime(1.seconds)
        }
        return now - startedAt
    }

    @Test
    fun `a task waits for the first heartbeat of a worker that answers probes, and is then restored`() {
        submitWithStoredPlacement()
        answerProbesFor(wait - 1.seconds)
        assertEquals(listOf(restoringStart), (heartbeatActions("m1") + advanceTime(1.seconds)).starts())
    }

    @Test
    fun `the wait for a worker that only answers probes ends after half a lease`() {
        submitWithStoredPlacement()
        val waited = answerProbesFor(wait * 4)
        assertEquals(true, waited in wait..wait + 3.seconds, "$waited")
    }

    // An unanswered probe must not cost a task its placement when the worker's own heartbeats arrive.
    @Test
    fun `a task waits until its unreachable machine is reached, and is then restored`() {
        submitWithStoredPlacement()
        heartbeatActions("m1", runningTask("a", 0, 3))
        step { probeEnded("m1", null) }

        // The worker's lease has expired, and with it the task is gone.
        fun nextIncarnation() = heartbeat("m1", incarnation = 2)
        val before = receiveHeartbeat(nextIncarnation()).second + advanceTime(2.seconds)
        assertEquals(emptyList<StartTask>() to true, before.starts() to isPlaced())
        val after = step { probeEnded("m1", nextIncarnation()) } + advanceTime(1.seconds)
        assertEquals(listOf(restoringStart), after.starts())
    }

    // Neither heartbeats nor replies can arrive while the process is stalled.
    @Test
    fun `the time for which this process was stalled is not part of the wait`() {
        submitWithStoredPlacement()
        answerProbe()
        now += wait + 1.seconds
        answerProbe()
        assertEquals(true, isPlaced())
        assertEquals(listOf(restoringStart), (heartbeatActions("m1") + advanceTime(1.seconds)).starts())
    }

    // While heartbeats queue in this process, the first one of a worker may be among them.
    @Test
    fun `the backlog of this process is added to the wait`() {
        submitWithStoredPlacement()
        answerProbesFor(wait - 1.seconds)
        step { backlogMeasured(3.seconds) }
        answerProbesFor(3.seconds)
        assertEquals(true, isPlaced())
    }

    @Test
    fun `tasks of a gang do not wait, since they can't be restored`() {
        submitWithStoredPlacement(JobKind.GANG)
        answerProbe()
        advanceTime(200.milliseconds)
        assertEquals(false, isPlaced())
    }
}
