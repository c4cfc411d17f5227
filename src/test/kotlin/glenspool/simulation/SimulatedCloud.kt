package glenspool.simulation

import glenspool.core.DeleteMachines
import glenspool.core.ScaleOut
import glenspool.core.Scheduler
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.MachineType
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The cloud of a [ClusterSimulation]. It rents and deletes machines, and its lists of machines are some time old. */
internal class SimulatedCloud(
    private val context: SimulationContext,
    private val fleet: SimulatedFleet,
    private val leader: SimulatedLeader,
    private val maxMachines: Int,
) {
    private class Listing(val at: Duration, val machines: List<ListedMachine>)

    /** Machines that were granted, by request, since a repeated request gets the same machines. */
    private val grantedMachines = HashMap<String, List<String>>()
    private val listings = ArrayList<Listing>()

    fun scaleOut(request: ScaleOut, scheduler: Scheduler) {
        if (request.request !in grantedMachines) request.causes.forEach(context::recordOrders)
        context.after(context.networkDelay() * 10) {
            val names = grantedMachines[request.request] ?: grant(request)
            val isLost = context.chance(context.faults.messageLoss)
            leader.stepIfLeading(scheduler) {
                when {
                    isLost -> scaleOutUnanswered(request)
                    names.isEmpty() -> scaleOutRefused(request)
                    else -> scaleOutSucceeded(request, names)
                }
            }
        }
    }

    private fun grant(request: ScaleOut): List<String> {
        val count =
            when {
                fleet.size >= maxMachines -> 0
                context.chance(0.2) -> context.random.nextInt(request.count + 1)
                else -> request.count
            }
        val type = context.machineTypes.first { it.name == request.type }
        val names = List(count) { fleet.add(type, request.zone, request.spot, bootTime(type)) }
        if (names.isNotEmpty()) grantedMachines[request.request] = names
        return names
    }

    /** Draws the boot time of a machine. A few machines never come up. */
    private fun bootTime(type: MachineType): Duration {
        if (context.chance(0.05)) return NEVER
        return type.bootTime * (0.6 + context.random.nextDouble())
    }

    fun delete(request: DeleteMachines, scheduler: Scheduler) {
        request.causes.values.forEach { context.recordOrders(it) }
        val isLost = context.chance(context.faults.messageLoss)
        context.after(context.networkDelay() * 5 + deletionDelay()) {
            // If the answer is lost, the machines may or may not be deleted.
            if (!isLost || context.chance(0.5)) request.machines.forEach(fleet::remove)
            leader.stepIfLeading(scheduler) { deletionEnded(request.machines, !isLost) }
        }
    }

    private fun deletionDelay(): Duration {
        val longest = context.faults.maxDeletionDelaySeconds
        return if (longest > 0) context.random.nextInt(longest).seconds else Duration.ZERO
    }

    /** Deletes a machine with overdue cancelled work, as the leader's node does without a decision of the scheduler. */
    fun deleteOverdue(machine: String, scheduler: Scheduler) =
        context.after(context.networkDelay() * 5) {
            fleet.remove(machine)
            leader.stepIfLeading(scheduler) { deletionEnded(listOf(machine), true) }
        }

    /** Records the current list of machines, and delivers a list that is some time old to the leader. */
    fun deliverList() {
        val listLag = context.config.listLag
        listings.add(Listing(context.now, fleet.workers.map(::listed)))
        listings.removeIf { context.now - it.at > listLag * 3 }
        val lag = listLag * (0.5 + context.random.nextDouble() * 1.5)
        val old = listings.lastOrNull { context.now - it.at >= lag } ?: return
        leader.step { machinesListed(old.machines) }
    }

    private fun listed(worker: SimulatedWorker): ListedMachine {
        val stage = if (worker.isUp) MachineStage.RUNNING else MachineStage.BOOTING
        return ListedMachine(
            worker.id, "addr-${worker.id}", worker.type.name, worker.zone, worker.isSpot, stage,
            context.now - worker.rentedAt,
        )
    }

    private companion object {
        /** Longer than any simulation runs. */
        val NEVER = 10_000.seconds
    }
}
