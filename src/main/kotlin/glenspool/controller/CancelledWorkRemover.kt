package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.core.model.Heartbeat
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

    /** Returns whether the cloud confirmed that the machines are gone. */
    fun delete(machines: List<String>): Boolean {
        val isDeleted = cloud.delete(machines)
        log.info("delete machines={} reason=cancelled-work leading=false ok={}", machines, isDeleted)
        return isDeleted
    }

    private companion object {
        val log = loggerOf(CancelledWorkRemover::class.java)
    }
}
