package glenspool.wire

import java.util.BitSet

/** The stored form of one chunk of a large job's done bits, under a key of its own. */
object DoneBitsWire {
    /** The bits of [chunk] out of all of the job's [done] bits. */
    fun encode(done: BitSet, chunk: Int): Fields {
        val from = chunk * RecordWire.TASKS_PER_CHUNK
        return mapOf("done" to RecordWire.encodeBits(done.get(from, from + RecordWire.TASKS_PER_CHUNK)))
    }
}
