package glenspool.controller

import glenspool.core.DeleteMachines
import glenspool.core.cluster.CancelledWorkTracker
import glenspool.http.CallPool
import glenspool.logging.loggerOf
import java.util.concurrent.ConcurrentHashMap

/**
 * Deletes machines with cancelled work in batches. A batch that the cloud does not confirm is not waited for by the
 * others, and its machines are deleted again in the next round. Thread-safe.
 */
internal class CancelledWorkDeletions(
    private val tracker: CancelledWorkTracker,
    private val remover: CancelledWorkRemover,
    private val metrics: CancelledWorkMetrics,
    /** Called with machines whose deletion the cloud has confirmed. */
    private val onDeleted: (List<String>) -> Unit,
) : AutoCloseable {
    private val pool = CallPool("cancelled-work-delete", MAX_REQUESTS, MAX_REQUESTS)

    /** Machines whose deletion is being requested at the moment. */
    private val inProgress = ConcurrentHashMap.newKeySet<String>()

    /**
     * Starts the deletion of [machines], the most urgent first. What exceeds [MAX_REQUESTS] requests at a time is left
     * to the next round, which knows what has become more urgent until then.
     */
    fun start(machines: List<String>) {
        val pending = machines.filter { it !in inProgress }
        for (batch in pending.chunked(DeleteMachines.MAX_MACHINES)) {
            if (pool.runningCalls >= MAX_REQUESTS) return
            inProgress.addAll(batch)
            if (!pool.tryExecute { delete(batch) }) inProgress.removeAll(batch.toSet())
        }
    }

    private fun delete(batch: List<String>) {
        try {
            val isDeleted = remover.delete(batch)
            metrics.countDeletion(batch.size, isDeleted)
            if (!isDeleted) return
            batch.forEach(tracker::recordDeletion)
            onDeleted(batch)
        } catch (e: RuntimeException) {
            log.error("deletion of {} machines failed with an exception and is repeated", batch.size, e)
        } finally {
            inProgress.removeAll(batch.toSet())
        }
    }

    override fun close() = pool.close()

    private companion object {
        val log = loggerOf(CancelledWorkDeletions::class.java)

        /** The cloud may need the whole timeout of 5 s for each request. */
        const val MAX_REQUESTS = 8
    }
}
