package glenspool.wire

import java.util.BitSet

/** The stored form of one chunk of a large job's done bits. Each chunk has its own key. */
object DoneBitsWire {
    /** Encodes the chunk number [chunk] of the job's [done] bits. */
    fun encode(done: BitSet, chunk: Int): Fields {
        val firstTask = chunk * RecordWire.TASKS_PER_CHUNK
        return mapOf("done" to RecordWire.encodeBits(done.get(firstTask, firstTask + RecordWire.TASKS_PER_CHUNK)))
    }
}
