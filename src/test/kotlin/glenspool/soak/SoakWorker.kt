package glenspool.soak

import glenspool.core.model.ExitReason
import glenspool.core.model.Heartbeat
import glenspool.http.CallResult
import glenspool.http.cborResponse
import glenspool.simulation.PlannedEnd
import glenspool.simulation.TaskSlot
import glenspool.simulation.WorkerTaskListener
import glenspool.simulation.WorkerTasks
import glenspool.wire.Cbor
import glenspool.wire.Fields
import glenspool.wire.WorkerWire
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A stand-in worker: sends heartbeats, executes commands, keeps its lease, and hangs or is cut off at times. */
internal class SoakWorker(val name: String, val address: String, private val fleet: SoakFleet) {
    private val tasks = WorkerTasks({ fleet.now }, TaskRecorder())
    private var incarnation = 1L
    private var sequence = 0L
    private var token = 0L
    private var leaseRenewedAt = fleet.now
    private var node = SoakSettings.NODES[name.hashCode().mod(SoakSettings.NODES.size)]

    /** The machine executes nothing until this time; what arrives meanwhile is executed then. */
    @Volatile
    var hangsUntil = Duration.ZERO

    /** No message leaves or reaches the machine until this time; those to it arrive then. */
    @Volatile
    var cutUntil = Duration.ZERO

    /** The machine reaches no controller until this time, while commands reach it. */
    @Volatile
    var muteUntil = Duration.ZERO

    @Volatile
    private var isDeleted = false

    /** The state of the machine, for the report of a violation. */
    fun describe(): String = "$name (hangs until $hangsUntil, cut until $cutUntil, lease renewed at $leaseRenewedAt)"

    /** When requests that arrive now are executed; null if at once. */
    fun heldUntil(): Duration? = maxOf(hangsUntil, cutUntil).takeIf { it > fleet.now }

    /** Sends a heartbeat unless trouble prevents it, and lets the lease expire if it is over. */
    fun heartbeat() {
        if (isDeleted || fleet.now < hangsUntil) return
        if (fleet.now < maxOf(cutUntil, muteUntil)) return expireLeaseIfOver()
        val sent = synchronized(this) { status() }
        val sentAt = fleet.now
        val reply = fleet.sendHeartbeat(node, WorkerWire.encode(sent))
        // An answer that arrives while the machine hangs or is cut off is lost.
        if (isDeleted || heldUntil() != null) return
        synchronized(this) { processReply(reply, sent, sentAt) }
        expireLeaseIfOver()
    }

    @Synchronized
    private fun status(): Heartbeat =
        Heartbeat(name, address, "big", "here", false, incarnation, ++sequence, token, null, tasks.statuses())

    private fun processReply(reply: CallResult.Response?, sent: Heartbeat, sentAt: Duration) {
        when (reply?.status) {
            OK -> {
                val replyToken = reply.body["baton"] as? Long ?: return
                if (sent.incarnation != incarnation || replyToken < token) return
                leaseRenewedAt = sentAt
                executeAll(reply.body)
            }
            MISDIRECTED -> node = reply.body["foreman"] as? String ?: nextNode()
            else -> node = nextNode()
        }
    }

    private fun nextNode() = SoakSettings.NODES.let { it[(it.indexOf(node) + 1) % it.size] }

    @Synchronized
    private fun expireLeaseIfOver() {
        if (fleet.now - leaseRenewedAt > fleet.settings.lease) beginIncarnation()
    }

    private fun beginIncarnation() {
        tasks.endAll()
        incarnation++
        leaseRenewedAt = fleet.now
    }

    /** Ends the worker with all its tasks. */
    @Synchronized
    fun delete() {
        isDeleted = true
        beginIncarnation()
    }

    private inner class TaskRecorder : WorkerTaskListener {
        override fun started(slot: TaskSlot): PlannedEnd {
            fleet.history.started(slot.key, name)
            return fleet.plannedEnd(slot)
        }

        override fun stopped(slot: TaskSlot) = Unit

        override fun ended(slot: TaskSlot, reason: ExitReason) = fleet.history.ended(slot.key, name)
    }

    /** Executes a request that arrived at [arrivedAt]. */
    @Synchronized
    fun serve(request: Request, arrivedAt: Duration): Response {
        if (isDeleted) return cborResponse(Status.SERVICE_UNAVAILABLE, emptyMap())
        expireLeaseIfOver()
        if (request.uri.path == "/show") return cborResponse(Status.OK, WorkerWire.encode(status()))
        val bytes = request.body.stream.readAllBytes()
        if (bytes.size > MAX_BODY_BYTES) return cborResponse(Status.BAD_REQUEST, emptyMap())
        val body = Cbor.decodeMap(bytes)
        checkNoStartAfterCancellation(body, arrivedAt)
        val isCurrent = isCurrent(body)
        if (isCurrent) {
            executeAll(body)
            fleet.planCopy(this, body)
        }
        return cborResponse(if (isCurrent) Status.OK else Status.CONFLICT, WorkerWire.encode(status()))
    }

    private fun isCurrent(body: Fields): Boolean =
        body["baton"] as Long >= token && body["shift"] as Long == incarnation

    /** Executes a copy of a request that was executed and answered before; a task that it starts is a violation. */
    @Synchronized
    fun receiveCopy(body: Fields) {
        expireLeaseIfOver()
        if (isDeleted || !isCurrent(body)) return
        val started = executeAll(body)
        if (started.isNotEmpty()) fleet.history.violation("started_again", "$started on $name by a late copy")
    }

    @Suppress("UNCHECKED_CAST")
    private fun checkNoStartAfterCancellation(body: Fields, arrivedAt: Duration) {
        for (command in body["orders"] as List<Fields>) {
            val key = WorkerTasks.slotOf(command).key
            val cancelledAt = fleet.history.cancelledAt[key.job] ?: continue
            if (command["verb"] == "run" && arrivedAt - cancelledAt > TRANSIT_ALLOWANCE) {
                fleet.history.violation("start_after_cancel", "$key on $name, ${arrivedAt - cancelledAt} after")
            }
        }
    }

    private fun executeAll(body: Fields): List<TaskSlot> {
        token = maxOf(token, body["baton"] as Long)
        return tasks.executeAll(body)
    }

    /** The worker's entry in the cloud's list. */
    fun cloudEntry(): Fields =
        mapOf(
            "uid" to name, "addr" to address, "frame" to "big", "hall" to "here", "loaners" to false,
            "stage" to "running", "held_s" to 100.0,
        )

    private companion object {
        const val OK = 200
        const val MISDIRECTED = 421
        const val MAX_BODY_BYTES = 64 * 1024

        /** How long a request may be on its way from a controller that was busy when it was sent. */
        val TRANSIT_ALLOWANCE = 2.seconds
    }
}
