package glenspool.simulation

import glenspool.core.model.ExitReason
import glenspool.core.model.Heartbeat
import glenspool.core.model.TaskKey
import glenspool.http.CallResult
import glenspool.http.HttpListener
import glenspool.http.cborResponse
import glenspool.wire.Cbor
import glenspool.wire.Fields
import glenspool.wire.WorkerWire
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A worker of a [LoopbackFleet], which sends heartbeats, executes commands, and ends its tasks when its lease expires.
 *
 * @property nextNode selects the node for a heartbeat while no leader is known, and is incremented with each of these
 */
internal class LoopbackWorker(val name: String, private var nextNode: Int, private val fleet: LoopbackFleet) {
    private val tasks = WorkerTasks(fleet.now, TaskRecorder())
    private val listener = HttpListener(InetSocketAddress("127.0.0.1", 0), name, 2, ::serve)
    private var incarnation = 1L
    private var sequence = 0L

    /** The highest fencing token received. */
    private var token = 0L
    private var leaseRenewedAt = fleet.now()

    /** The name of the leader that a node reported last, or null if the leader is unknown. */
    private var leader: String? = null

    /** Whether the worker sends no heartbeats. */
    @Volatile
    var silent = false

    @Synchronized
    fun running(): List<TaskKey> = tasks.running()

    @Synchronized
    fun addUnorderedTask(key: TaskKey, attempt: Long) {
        tasks.addRunning(TaskSlot(key, attempt))
    }

    /** Ends all tasks and begins a new incarnation, as a worker does after its lease has expired. */
    @Synchronized
    fun expireLease() {
        tasks.endAll()
        incarnation++
        leaseRenewedAt = fleet.now()
    }

    @Synchronized
    private fun heartbeat(): Heartbeat {
        val address = "127.0.0.1:${listener.port}"
        return Heartbeat(name, address, "big", "here", false, incarnation, ++sequence, token, null, tasks.statuses())
    }

    private inner class TaskRecorder : WorkerTaskListener {
        override fun started(slot: TaskSlot): PlannedEnd {
            fleet.recordCommand("run", name, slot.key)
            fleet.history.add { HistoryEvent.Started(it, slot.job, name) }
            return PlannedEnd(fleet.now() + fleet.runTime, ExitReason.DONE)
        }

        override fun stopped(slot: TaskSlot) = fleet.recordCommand("stop", name, slot.key)

        override fun ended(slot: TaskSlot, reason: ExitReason) =
            fleet.history.add { HistoryEvent.Ended(it, slot.job, name, reason == ExitReason.DONE) }
    }

    /** Sends a heartbeat and, if the response redirects the worker, immediately another one to the leader. */
    fun sendHeartbeat() {
        if (sendOnce() && !silent) sendOnce()
    }

    /** Sends one heartbeat. Returns whether the node has redirected the worker to the leader. */
    private fun sendOnce(): Boolean {
        if (silent) return false
        val addresses = fleet.nodes()
        val sentAt = fleet.now()
        val heartbeat = heartbeat()
        val address = addresses[leader] ?: addresses.values.toList().let { it[nextNode++ % it.size] }
        val answer =
            fleet.http.post(address, "/checkin", WorkerWire.encode(heartbeat), 2.seconds) as? CallResult.Response
        synchronized(this) { handleResponse(answer, heartbeat, sentAt) }
        return answer?.status == MISDIRECTED
    }

    private fun handleResponse(answer: CallResult.Response?, heartbeat: Heartbeat, sentAt: Duration) {
        when (answer?.status) {
            OK -> handleReply(answer.body, heartbeat, sentAt)
            MISDIRECTED -> leader = answer.body["foreman"] as? String
            else -> leader = null
        }
        if (fleet.now() - leaseRenewedAt > fleet.lease) expireLease()
    }

    private fun handleReply(body: Fields, heartbeat: Heartbeat, sentAt: Duration) {
        val replyToken = body["baton"] as? Long ?: 0
        if (heartbeat.incarnation != incarnation || replyToken < token) return
        leaseRenewedAt = sentAt
        executeAll(body)
    }

    private fun executeAll(body: Fields) {
        token = maxOf(token, body["baton"] as Long)
        tasks.executeAll(body)
    }

    private fun serve(request: Request): Response {
        if (request.uri.path == "/show") return cborResponse(Status.OK, WorkerWire.encode(heartbeat()))
        val body = Cbor.decodeMap(request.body.stream.readAllBytes())
        val isExecuted = synchronized(this) { executeIfCurrent(body) }
        return cborResponse(if (isExecuted) Status.OK else Status.CONFLICT, WorkerWire.encode(heartbeat()))
    }

    private fun executeIfCurrent(body: Fields): Boolean {
        val isCurrent = body["baton"] as Long >= token && body["shift"] as Long == incarnation
        if (isCurrent) executeAll(body)
        return isCurrent
    }

    @Synchronized
    fun delete() {
        expireLease()
        listener.close()
    }

    /** Returns the machine's entry in the cloud's list. */
    fun cloudEntry(): Fields =
        mapOf(
            "uid" to name, "addr" to "127.0.0.1:${listener.port}", "frame" to "big", "hall" to "here",
            "loaners" to false, "stage" to "running", "held_s" to 100.0,
        )

    private companion object {
        const val OK = 200
        const val MISDIRECTED = 421
    }
}
