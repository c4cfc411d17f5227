package glenspool.core.cluster

import glenspool.core.DeleteMachines
import glenspool.core.DeletionCause
import glenspool.core.ProposedOrder
import glenspool.core.SchedulingContext
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Deletes machines, several with one request, so that a lost rack takes one call to the cloud. */
class MachineDeleter(private val context: SchedulingContext) {
    private val pending = LinkedHashMap<String, DeletionCause>()
    private var sentAt = context.startedAt - INITIAL_SEND_AGE

    /** Marks the machine for deletion and queues its deletion, unless the order gate defers it. */
    fun delete(machine: Machine, cause: DeletionCause) {
        if (machine.isDeleting) return
        if (cause in DEFERRABLE_CAUSES && !context.hooks.gate.admits(ProposedOrder(cause, machine.id))) return
        context.log(isImportant = true) {
            val lastContactAt = machine.reachability.lastContactAt
            "delete-machine machine=${machine.id} reason=${cause.label} tasks=${machine.placements.size} " +
                "last-heard=$lastContactAt now=${context.now}"
        }
        machine.markForDeletion(cause)
        enqueue(machine, cause)
    }

    /** Queues the deletion of a marked machine again, if the cloud has rejected it. */
    fun retry(machine: Machine) {
        val cause = machine.deletionCause ?: return
        if (!machine.isDeletionSent && context.now >= machine.requests.nextRequestAt) enqueue(machine, cause)
    }

    private fun enqueue(machine: Machine, cause: DeletionCause) {
        machine.markDeletionSent()
        pending[machine.id] = cause
    }

    /** Sends the queued deletions to the cloud, at a limited rate. */
    fun flush() {
        if (pending.isEmpty() || context.now - sentAt < SEND_INTERVAL) return
        sentAt = context.now
        val batch = pending.entries.take(DeleteMachines.MAX_MACHINES).associate { it.key to it.value }
        batch.keys.forEach(pending::remove)
        batch.values.forEach(context.orderCounts::add)
        context.addAction(DeleteMachines(batch))
    }

    private companion object {
        /** Causes that rest neither on a promise about cancelled work nor on certain knowledge, so they may wait. */
        val DEFERRABLE_CAUSES =
            setOf(
                DeletionCause.NEVER_CAME_UP,
                DeletionCause.UNREACHABLE,
                DeletionCause.SILENT,
                DeletionCause.NOT_NEEDED,
            )
        val SEND_INTERVAL = 400.milliseconds
        val INITIAL_SEND_AGE = 10.seconds
    }
}
