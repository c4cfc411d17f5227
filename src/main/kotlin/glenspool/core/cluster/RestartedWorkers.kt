package glenspool.core.cluster

import glenspool.core.DeletionCause
import glenspool.core.Probe
import glenspool.core.SchedulingContext
import glenspool.core.lifecycle.PlacementStage
import glenspool.core.model.Heartbeat
import glenspool.core.model.StopTask
import kotlin.time.Duration.Companion.seconds

/**
 * Detects workers that began anew within their incarnation, as on a machine that stops and is back within a moment.
 * Such a worker has forgotten its tasks and its fencing token, so it executes a late copy of any start of that
 * incarnation, also of a task that runs elsewhere by now. Its heartbeats look older than those of the earlier process,
 * and so does a late copy of one of these. Only the reply to a request tells the two apart: it is newer than all that
 * was known when the request was sent, unless the worker began anew.
 *
 * The machine is deleted, since messages of both processes can't be ordered. Until it is gone, tasks that are not
 * placed there are stopped, and its worker gets a token that no earlier start has. That shortens the time in which a
 * copy can run a task; it does not exclude it.
 */
class RestartedWorkers(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val commands: CommandQueue,
    private val replyCommands: HeartbeatReplyCommands,
    private val deleter: MachineDeleter,
    private val fencing: StartFencing,
) {
    /** Machines whose workers have begun anew, until the machines are gone. */
    private val restarted = LinkedHashMap<Machine, RestartedWorker>()

    private var remainingProbes = PROBES_PER_TICK

    /** What a worker has shown that began anew. [sentToken]: the highest token that was sent to it since. */
    private class RestartedWorker(val incarnation: Long, var sentToken: Long)

    /**
     * A heartbeat that is not newer than those known was received. It is a late copy, or its worker began anew, so the
     * worker is asked. Returns the stops for the answer to the heartbeat, which has no effect on the sender of a copy.
     */
    fun outdatedHeartbeatReceived(machine: Machine, heartbeat: Heartbeat): List<StopTask> {
        context.fencingCounts.outdatedHeartbeat()
        val stops = replyCommands.stopsOfMisplacedTasks(machine, heartbeat)
        if (stops.isNotEmpty() || hasForgotten(machine, heartbeat)) probe(machine)
        context.countOrders(stops)
        return stops
    }

    /** Whether the heartbeat lacks the token or a task that the machine has shown before. Most late copies do not. */
    private fun hasForgotten(machine: Machine, heartbeat: Heartbeat): Boolean {
        if (heartbeat.token < machine.token) return true
        val shown = heartbeat.tasks.mapTo(HashSet()) { it.key }
        return machine.placements.values.any { it.stage == PlacementStage.OBSERVED && it.key !in shown }
    }

    private fun probe(machine: Machine) {
        val probedAt = machine.requests.restartProbedAt
        val isRecent = probedAt != null && context.now - probedAt < PROBE_INTERVAL
        if (isRecent || machine.addr.isEmpty() || remainingProbes <= 0) return
        remainingProbes--
        machine.requests.restartProbedAt = context.now
        context.addAction(Probe(machine.id, machine.addr, machine.position))
    }

    /** A machine has replied to a [probe]. Returns whether the reply shows that its worker began anew. */
    fun probeAnswered(machine: Machine, probe: Probe, reply: Heartbeat): Boolean {
        if (reply.position > probe.sentAfter) return false
        val stops = replyCommands.stopsOfMisplacedTasks(machine, reply)
        if (machine !in restarted) recordRestart(machine, probe, reply)
        if (stops.isNotEmpty() && !machine.requests.isInFlight) commands.send(machine, stops, reply.incarnation)
        return true
    }

    private fun recordRestart(machine: Machine, probe: Probe, reply: Heartbeat) {
        context.log(isImportant = true) {
            "worker-restarted machine=${machine.id} known=${probe.sentAfter.incarnation}/${probe.sentAfter.sequence} " +
                "shown=${reply.incarnation}/${reply.sequence} token=${reply.token} tasks=${reply.tasks.size} " +
                "placements=${machine.placements.size}"
        }
        context.fencingCounts.workerRestarted()
        restarted[machine] = RestartedWorker(reply.incarnation, context.token)
        fencing.workerRestarted()
        deleter.delete(machine, DeletionCause.RESTARTED)
    }

    /** Sends the token that was advanced since to restarted workers whose machines are not gone yet. */
    fun tick() {
        remainingProbes = PROBES_PER_TICK
        if (restarted.isEmpty()) return
        restarted.keys.removeIf { it.id !in cluster.machines }
        for ((machine, worker) in restarted) {
            if (worker.sentToken >= context.token || machine.requests.isInFlight) continue
            worker.sentToken = context.token
            commands.send(machine, emptyList(), worker.incarnation)
        }
    }

    private companion object {
        /** The shortest time between two probes of a machine. */
        val PROBE_INTERVAL = 1.seconds

        /** Late copies of heartbeats may arrive from the whole fleet, and most probes find nothing. */
        const val PROBES_PER_TICK = 4
    }
}
