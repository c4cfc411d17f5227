package glenspool.soak

import glenspool.core.model.ExitReason
import glenspool.core.model.Heartbeat
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.http.CallResult
import glenspool.http.cborResponse
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
    private class Task(val attempt: Long, val endsAt: Duration, var exit: ExitReason? = null)

    private val tasks = HashMap<TaskKey, Task>()
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
    private fun status(): Heartbeat {
        for ((key, task) in tasks) if (task.exit == null && fleet.now >= task.endsAt) exit(key, task, ExitReason.DONE)
        val statuses =
            tasks.map { (key, task) ->
                val state = if (task.exit == null) TaskState.RUNNING else TaskState.EXITED
                TaskStatus(key, task.attempt, state, task.exit, false)
            }
        return Heartbeat(name, address, "big", "here", false, incarnation, ++sequence, token, null, statuses)
    }

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
        tasks.forEach { (key, task) -> if (task.exit == null) exit(key, task, ExitReason.STOPPED) }
        tasks.clear()
        incarnation++
        leaseRenewedAt = fleet.now
    }

    /** Ends the worker with all its tasks. */
    @Synchronized
    fun delete() {
        isDeleted = true
        beginIncarnation()
    }

    private fun exit(key: TaskKey, task: Task, reason: ExitReason) {
        task.exit = reason
        fleet.history.ended(key, name)
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
        val isCurrent = body["baton"] as Long >= token && body["shift"] as Long == incarnation
        if (isCurrent) executeAll(body)
        return cborResponse(if (isCurrent) Status.OK else Status.CONFLICT, WorkerWire.encode(status()))
    }

    private fun checkNoStartAfterCancellation(body: Fields, arrivedAt: Duration) {
        for ((verb, key) in commands(body).map { it["verb"] to keyOf(it) }) {
            val cancelledAt = fleet.history.cancelledAt[key.job] ?: continue
            if (verb == "run" && arrivedAt - cancelledAt > TRANSIT_ALLOWANCE) {
                fleet.history.violation("start_after_cancel", "$key on $name, ${arrivedAt - cancelledAt} after")
            }
        }
    }

    @Suppress("UNCHECKED_CAST")
    private fun commands(body: Fields) = body["orders"] as List<Fields>

    private fun keyOf(command: Fields): TaskKey {
        val (job, task) = (command["thread"] as String).split('/')
        return TaskKey(job, task.toInt())
    }

    private fun executeAll(body: Fields) {
        token = maxOf(token, body["baton"] as Long)
        commands(body).forEach { execute(it["verb"] as String, keyOf(it), it["try"] as Long) }
    }

    private fun execute(verb: String, key: TaskKey, attempt: Long) {
        val existing = tasks[key]
        when {
            verb == "run" && existing == null -> {
                tasks[key] = Task(attempt, fleet.now + fleet.runTime(key.job))
                fleet.history.started(key, name)
            }
            existing == null || existing.attempt != attempt -> Unit
            verb == "stop" -> if (existing.exit == null) exit(key, existing, ExitReason.STOPPED)
            verb == "clear" -> if (existing.exit != null) tasks.remove(key)
        }
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
