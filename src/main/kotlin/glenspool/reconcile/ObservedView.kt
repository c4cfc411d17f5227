package glenspool.reconcile

import glenspool.core.HeartbeatSource
import glenspool.core.model.Heartbeat
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlin.time.Duration

/**
 * A machine as described by its newest heartbeat. Times are in the term's monotonic time.
 *
 * @property isTrusted whether the worker has received this leader's fencing token; only then are tasks that the
 *   heartbeat does not name known to be absent
 * @property observedAt when this description of the machine was first received
 * @property firstHeartbeatAt when the first heartbeat that the worker sent on its own was received; null if the worker
 *   has only replied to requests and commands
 */
data class ObservedMachine(
    val id: String,
    val type: String,
    val zone: String,
    val incarnation: Long,
    val sequence: Long,
    val isTrusted: Boolean,
    val tasks: List<TaskStatus>,
    val observedAt: Duration,
    val firstHeartbeatAt: Duration?,
) {
    /** The tasks that are on the machine now. */
    val presentTasks: List<TaskStatus> get() = tasks.filter { it.state != TaskState.EXITED }
}

/**
 * The observed state: the machines from which a heartbeat was received in this term.
 *
 * @property claims the machines that report a task as present, by task
 */
data class ObservedView(
    val machines: PersistentMap<String, ObservedMachine> = persistentHashMapOf(),
    val claims: PersistentMap<TaskKey, PersistentSet<String>> = persistentHashMapOf(),
) {
    /** Returns the view after [heartbeat]. [isTrusted]: whether the worker has received this leader's fencing token. */
    fun with(heartbeat: Heartbeat, source: HeartbeatSource, isTrusted: Boolean, at: Duration): ObservedView {
        val before = machines[heartbeat.machine]
        val machine =
            ObservedMachine(
                heartbeat.machine,
                heartbeat.type,
                heartbeat.zone,
                heartbeat.incarnation,
                heartbeat.sequence,
                isTrusted,
                heartbeat.tasks,
                observedAt = at,
                firstHeartbeatAt = before?.firstHeartbeatAt ?: at.takeIf { source == HeartbeatSource.WORKER },
            )
        return ObservedView(machines.put(machine.id, machine), claims.withoutClaimsOf(before).withClaimsOf(machine))
    }

    /** Whether the heartbeat contains anything that is not yet known of its machine. */
    fun isChange(heartbeat: Heartbeat, source: HeartbeatSource, isTrusted: Boolean): Boolean {
        val before = machines[heartbeat.machine] ?: return true
        val isFirstFromWorker = source == HeartbeatSource.WORKER && before.firstHeartbeatAt == null
        return isFirstFromWorker ||
            before.isTrusted != isTrusted ||
            before.incarnation != heartbeat.incarnation ||
            before.tasks != heartbeat.tasks
    }

    /** Returns the view without a machine that no longer exists. */
    fun without(machine: String): ObservedView {
        val before = machines[machine] ?: return this
        return ObservedView(machines.remove(machine), claims.withoutClaimsOf(before))
    }

    private fun PersistentMap<TaskKey, PersistentSet<String>>.withClaimsOf(
        machine: ObservedMachine,
    ): PersistentMap<TaskKey, PersistentSet<String>> {
        if (machine.tasks.isEmpty()) return this
        return mutate { result -> machine.presentTasks.forEach { result.addTo(it.key, machine.id) } }
    }

    private fun PersistentMap<TaskKey, PersistentSet<String>>.withoutClaimsOf(
        machine: ObservedMachine?,
    ): PersistentMap<TaskKey, PersistentSet<String>> {
        if (machine == null || machine.tasks.isEmpty()) return this
        return mutate { result -> machine.presentTasks.forEach { result.removeFrom(it.key, machine.id) } }
    }
}
