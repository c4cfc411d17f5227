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
class JobRecordReader(private val keys: LiveKeyReader) {
    fun read(id: String, value: Fields): JobRecord {
        val r =
            RecordWire.decode(
                value,
                object : RecordWire.Apart {
                    override fun descriptionPart(n: Int) = keys.get(Keys.descriptionPart(id, n))?.value

                    override fun placementPart(n: Int) = keys.get(Keys.placementPart(id, n))?.value
                },
            )
        if (r.spec.tasks <= RecordWire.INLINE_TASKS) return r
        val done = r.done.clone() as BitSet
        for (c in keys.withPrefix(Keys.chunks(id))) {
            val n = c.key.substringAfterLast('/').toInt()
            RecordWire.decodeBits(c.value.text("done")).stream().forEach { done.set(n * RecordWire.CHUNK_TASKS + it) }
        }
        return r.copy(done = done)
    }

    companion object {
        /** What to store of a record whose description is too long for one value. */
        fun descriptionParts(r: JobRecord, valueBytes: Int): List<Put> = RecordWire.encodeDescriptionParts(r, valueBytes).mapIndexed { n, p -> Put(Keys.descriptionPart(r.spec.id, n), p) }
    }
}
