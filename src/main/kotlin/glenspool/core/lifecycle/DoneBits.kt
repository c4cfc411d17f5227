package glenspool.core.lifecycle

import glenspool.core.UpdateJobRecord
import glenspool.core.model.JobRecord

/** Large jobs store their done bits in chunks of their own; others in the record. */
private val Job.storesDoneInChunks: Boolean get() = spec.tasks > JobRecord.MAX_INLINE_TASKS

/** At most so many chunks go into one transaction. */
private const val MAX_CHUNKS_PER_WRITE = 2

/** Chunks with results that are not known to be stored; a few of them. */
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
 * The write was stored. Of a large job only the chunks that were written count: a worker may forget a result only when
 * its own bit is stored.
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

/** Whether results of a large job are left after [write] for the next one. */
fun Job.hasUnstoredChunksAfter(write: UpdateJobRecord): Boolean =
    storesDoneInChunks && !write.record.done.isEmpty && dirtyChunks().isNotEmpty()
