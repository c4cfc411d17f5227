package glenspool.core.lifecycle

import glenspool.core.UpdateJobRecord
import glenspool.core.model.JobRecord

/** Whether done bits are stored in separate chunks, as for large jobs, instead of in the record. */
private val Job.storesDoneInChunks: Boolean get() = spec.tasks > JobRecord.MAX_INLINE_TASKS

/** The maximum number of chunks in one transaction. */
private const val MAX_CHUNKS_PER_WRITE = 2

/** Returns up to [MAX_CHUNKS_PER_WRITE] chunks with results that are not known to be stored. */
fun Job.dirtyChunks(): List<Int> {
    if (!storesDoneInChunks) return emptyList()
    val chunks = LinkedHashSet<Int>()
    var task = done.nextSetBit(0)
    while (task >= 0) {
        if (!storedDone[task]) chunks.add(task / JobRecord.TASKS_PER_CHUNK)
        task = done.nextSetBit(task + 1)
    }
    return chunks.take(MAX_CHUNKS_PER_WRITE)
}

/**
 * Marks the results in a stored [write] as stored. For a large job these are only the tasks in the written chunks,
 * because a worker may forget a result only when the bit of that task is stored.
 */
fun Job.markDoneStored(write: UpdateJobRecord) {
    if (!storesDoneInChunks) {
        storedDone.or(write.record.done)
        return
    }
    for (chunk in write.chunks) {
        val tasks = chunk * JobRecord.TASKS_PER_CHUNK until (chunk + 1) * JobRecord.TASKS_PER_CHUNK
        var task = write.record.done.nextSetBit(tasks.first)
        while (task in tasks) {
            storedDone.set(task)
            task = write.record.done.nextSetBit(task + 1)
        }
    }
}

/** Whether results of a large job remain to be stored after [write]. */
fun Job.hasUnstoredChunksAfter(write: UpdateJobRecord): Boolean =
    storesDoneInChunks && !write.record.done.isEmpty && dirtyChunks().isNotEmpty()
