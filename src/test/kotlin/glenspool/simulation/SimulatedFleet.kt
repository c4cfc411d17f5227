package glenspool.simulation

import glenspool.core.model.MachineType
import glenspool.core.model.TaskKey
import kotlin.time.Duration

/** A task that has not ended, with its machine. */
internal class LiveTask(val worker: SimulatedWorker, val key: TaskKey)

/** All machines of a [ClusterSimulation] in the order in which they were added. [onUp] is called after each boot. */
internal class SimulatedFleet(private val context: SimulationContext, private val onUp: (SimulatedWorker) -> Unit) {
    private val workersById = LinkedHashMap<String, SimulatedWorker>()
    private var addedCount = 0

    val workers: Collection<SimulatedWorker> get() = workersById.values
    val size: Int get() = workersById.size

    operator fun get(id: String): SimulatedWorker? = workersById[id]

    fun getValue(id: String): SimulatedWorker = workersById.getValue(id)

    /** Adds a machine that is up after [boot]. Returns its name. */
    fun add(type: MachineType, zone: String, isSpot: Boolean, boot: Duration): String {
        val worker = SimulatedWorker(context, "i-%06d".format(++addedCount), type, zone, isSpot)
        workersById[worker.id] = worker
        context.after(boot) {
            worker.isUp = true
            worker.leaseRenewedAt = context.now
            onUp(worker)
        }
        return worker.id
    }

    /** Removes the machine of that name with all of its tasks, if it exists. */
    fun remove(id: String) {
        workersById.remove(id)?.isLost = true
    }

    fun liveTasks(): List<LiveTask> =
        workers.flatMap { worker ->
            worker.liveSlots().map { slot -> LiveTask(worker, slot.key) }
        }
}
