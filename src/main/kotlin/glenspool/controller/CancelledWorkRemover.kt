package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.core.cluster.OverdueMachine
import glenspool.core.model.Heartbeat
import glenspool.core.model.TaskState
import glenspool.logging.loggerOf
import glenspool.worker.WorkerCalls

/**
 * Probes machines for cancelled work, and finally deletes them, for a controller that does not lead. Neither request
 * starts anything, so no leadership is needed. The calls block.
 */
internal class CancelledWorkRemover(private val cloud: CloudClient, private val workers: WorkerCalls) {
    /**
     * Returns the heartbeat with which [machine] answers at [addr]; null if no address is known, nothing answers, or
     * another machine answers.
     */
    fun probe(machine: String, addr: String): Heartbeat? {
        if (addr.isEmpty()) return null
        return workers.probe(addr)?.takeIf { it.machine == machine }
    }

    /**
     * Deletes the machine unless its heartbeat shows that the cancelled work is gone. Returns whether the cloud
     * confirmed the deletion.
     */
    fun deleteUnlessWorkGone(overdue: OverdueMachine): Boolean {
        val heartbeat = probe(overdue.machine, overdue.addr)
        if (heartbeat != null && heartbeat.showsNoWorkOf(overdue.jobs)) return false
        return delete(listOf(overdue.machine))
    }

    /** Returns whether the cloud confirmed that the machines are gone. */
    fun delete(machines: List<String>): Boolean {
        val isDeleted = cloud.delete(machines)
        log.info("delete machines={} reason=cancelled-work leading=false ok={}", machines, isDeleted)
        return isDeleted
    }

    private fun Heartbeat.showsNoWorkOf(jobs: Set<String>) =
        tasks.none {
            it.key.job in jobs && it.state != TaskState.EXITED
        }

    private companion object {
        val log = loggerOf(CancelledWorkRemover::class.java)
    }
}
