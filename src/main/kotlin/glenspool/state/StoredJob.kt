package glenspool.state

import glenspool.core.model.JobRecord
import glenspool.wire.Fields
import glenspool.wire.RecordWire
import glenspool.wire.text
import java.util.BitSet

/**
 * A job's record as a whole: with its done bits, places and pieces of description that are stored under keys of their
 * own.
 */
class StoredJob(private val keys: LiveKeys) {
    fun read(id: String, value: Fields): JobRecord {
        val r =
            RecordWire.decode(
                value,
                object : RecordWire.Apart {
                    override fun piece(n: Int) = keys.get(Keys.piece(id, n))?.value

                    override fun shelf(n: Int) = keys.get(Keys.shelf(id, n))?.value
                },
            )
        if (r.spec.tasks <= RecordWire.INLINE_TASKS) return r
        val done = r.done.clone() as BitSet
        for (c in keys.under(Keys.chunks(id))) {
            val n = c.key.substringAfterLast('/').toInt()
            RecordWire.decodeBits(c.value.text("done")).stream().forEach { done.set(n * RecordWire.CHUNK_TASKS + it) }
        }
        return r.copy(done = done)
    }

    companion object {
        /** What to store of a record whose description is too long for one value. */
        fun pieces(r: JobRecord, valueBytes: Int): List<Put> =
            RecordWire.encodePieces(r, valueBytes).mapIndexed { n, p -> Put(Keys.piece(r.spec.id, n), p) }
    }
}
