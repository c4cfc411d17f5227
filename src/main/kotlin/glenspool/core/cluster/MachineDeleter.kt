package glenspool.core.cluster

import glenspool.core.DeleteMachines
import glenspool.core.DeletionCause
import glenspool.core.ProposedOrder
import glenspool.core.SchedulingContext
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Gives machines up by deleting them, several with one request: a lost rack is one call to the cloud. */
class MachineDeleter(private val context: SchedulingContext) {
    private val waiting = LinkedHashMap<String, DeletionCause>()
    private var sentAt = context.startedAt - LONG_AGO

    /** Gives the machine up, unless that has to wait. */
    fun delete(machine: Machine, cause: DeletionCause) {
        if (machine.isDeleting) return
        if (cause in DEFERRABLE && !context.hooks.gate.admits(ProposedOrder(cause, machine.id))) return
        context.log(isImportant = true) {
            val lastContactAt = machine.reachability.lastContactAt
            "delete-machine machine=${machine.id} reason=${cause.label} tasks=${machine.placements.size} " +
                "last-heard=$lastContactAt now=${context.now}"
        }
        machine.markForDeletion(cause)
        enqueue(machine, cause)
    }

    /** Deletes a machine again that was given up, if the cloud has refused to. */
    fun retry(machine: Machine) {
        val cause = machine.deletionCause ?: return
        if (!machine.isDeletionSent && context.now >= machine.requests.nextRequestAt) enqueue(machine, cause)
    }

    private fun enqueue(machine: Machine, cause: DeletionCause) {
        machine.markDeletionSent()
        waiting[machine.id] = cause
    }

    /** Asks the cloud for what has gathered, at a limited rate. */
    fun flush() {
        if (waiting.isEmpty() || context.now - sentAt < SEND_INTERVAL) return
        sentAt = context.now
        val batch = waiting.entries.take(DeleteMachines.MAX_MACHINES).associate { it.key to it.value }
        batch.keys.forEach(waiting::remove)
        batch.values.forEach(context.orderCounts::add)
        context.act(DeleteMachines(batch))
    }

    private companion object {
        /** Neither a promise about cancelled work nor certain knowledge is behind these. */
        val DEFERRABLE =
            setOf(
                DeletionCause.NEVER_CAME_UP,
                DeletionCause.UNREACHABLE,
                DeletionCause.SILENT,
                DeletionCause.NOT_NEEDED,
            )
        val SEND_INTERVAL = 400.milliseconds
        val LONG_AGO = 10.seconds
    }
}
