package glenspool.api

import glenspool.config.WorkerSettings
import glenspool.core.StopCause
import glenspool.core.cluster.Cancellation
import glenspool.core.model.Heartbeat
import glenspool.core.model.StopTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.logging.InvariantLog
import glenspool.simulation.FakeNodeState
import glenspool.wire.Cbor
import glenspool.wire.Fields
import org.http4k.core.Response
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Which answers renew a worker's lease, and which stops they carry, in simulated time. */
class HeartbeatAnswersTest {
    private var now = Duration.ZERO
    private val node = FakeNodeState { now }
    private val answers = HeartbeatAnswers(WORKERS, otherNodeCount = 2, node)
    private val heartbeat =
        Heartbeat(
            "m1", "m1:1", "any", "a", false, 1, 1, WORKER_TOKEN, null,
            listOf(running("run-000001", 0), running("run-000002", 0)),
        )

    private fun running(job: String, task: Int) = TaskStatus(TaskKey(job, task), 1, TaskState.RUNNING, null, false)

    private fun fields(response: Response): Fields = Cbor.decodeMap(response.body.stream.readAllBytes())

    /** The tasks that the answer stops. */
    private fun stopped(response: Response): List<Any?> =
        (fields(response)["orders"] as List<*>).map { (it as Map<*, *>)["thread"] }

    @Test
    fun `a node without a leader renews leases with the worker's token and stops cancelled work`() {
        node.readStore()
        node.cancellations.add(Cancellation("run-000002", now, 1))
        val answer = answers.withoutCore(heartbeat)
        assertEquals(200, answer.status.code)
        assertEquals(WORKER_TOKEN, fields(answer)["baton"])
        assertEquals(listOf("run-000002/0"), stopped(answer))
    }

    @Test
    fun `work seen past the deadline of its cancellation is reported and stopped`() {
        node.readStore()
        node.cancellations.add(Cancellation("run-000002", now, 1))

        fun reportsOfAnswer(): Long {
            val before = InvariantLog.violationCount
            node.readStore()
            assertEquals(listOf("run-000002/0"), stopped(answers.withoutCore(heartbeat)))
            return InvariantLog.violationCount - before
        }
        now += WORKERS.cancellationDeadline
        assertEquals(0, reportsOfAnswer())
        now += 1.seconds
        assertEquals(1, reportsOfAnswer())
    }

    @Test
    fun `a node that knows no cancellations refuses heartbeats, and learns them only if it can`() {
        assertTrue(answers.isLearningCancellations())
        assertEquals(503, answers.withoutCore(heartbeat).status.code)
        node.isIsolated = true
        assertFalse(answers.isLearningCancellations())
        node.isIsolated = false
        node.isFenced = true
        assertFalse(answers.isLearningCancellations())
        node.isFenced = false
        node.leader = "b"
        assertFalse(answers.isLearningCancellations())
        node.leader = null
        node.readStore()
        assertFalse(answers.isLearningCancellations())
        assertEquals(200, answers.withoutCore(heartbeat).status.code)
    }

    // The core repeats a stop only after an interval, so its answer could renew the lease of a cancelled task.
    @Test
    fun `every answer of the leader stops the work that is known to be cancelled`() {
        node.readStore()
        node.cancellations.add(Cancellation("run-000002", now, 1))
        val answer = answers.withCommands(heartbeat, WorkerCommands(LEADER_TOKEN, emptyList()))
        assertEquals(200, answer.status.code)
        assertEquals(LEADER_TOKEN, fields(answer)["baton"])
        assertEquals(listOf("run-000002/0"), stopped(answer))
        val stop = StopTask(TaskKey("run-000002", 0), 1, Duration.ZERO, StopCause.CANCELLED)
        val repeated = answers.withCommands(heartbeat, WorkerCommands(LEADER_TOKEN, listOf(stop)))
        assertEquals(listOf("run-000002/0"), stopped(repeated))
    }

    // A leader whose reads fail while the renewals of its own lease succeed must not keep cancelled work alive.
    @Test
    fun `a leader renews no lease that could outlast a cancellation it has not received`() {
        node.readStore()
        val reply = WorkerCommands(LEADER_TOKEN, emptyList())
        now = 23.seconds
        assertEquals(200, answers.withCommands(heartbeat, reply).status.code)
        // A node without a leader would refuse the worker once now, so that it looks for a leader elsewhere.
        node.isIsolated = true
        assertEquals(200, answers.withCommands(heartbeat, reply).status.code)
        now = 24.seconds
        assertEquals(503, answers.withCommands(heartbeat, reply).status.code)
    }

    private companion object {
        const val WORKER_TOKEN = 7L
        const val LEADER_TOKEN = 8L
        val WORKERS = WorkerSettings(4.seconds, 24.seconds, 30.seconds, 8.seconds, 49.seconds)
    }
}
