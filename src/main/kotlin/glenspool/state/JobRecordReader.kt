package glenspool.state

import glenspool.core.model.JobRecord
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import glenspool.wire.RecordWire
import glenspool.wire.text
import java.util.BitSet

/** Reads whole job records: with the done bits, placements and description parts that have keys of their own. */
class JobRecordReader(private val keys: LiveKeyReader) {
    /**
     * The record of the job [id], of which [value] is stored under its main key.
     *
     * @throws MalformedMessage if any part of it can't be decoded
     */
    fun read(id: String, value: Fields): JobRecord {
        val record = RecordWire.decode(value, partsOf(id))
        if (record.spec.tasks <= RecordWire.MAX_INLINE_TASKS) return record
        return record.copy(done = withChunks(id, record.done))
    }

    private fun partsOf(id: String) =
        object : RecordWire.PartReader {
            override fun descriptionPart(number: Int) = keys.get(Keys.descriptionPart(id, number))?.value

            override fun placementPart(number: Int) = keys.get(Keys.placementPart(id, number))?.value
        }

    private fun withChunks(id: String, inline: BitSet): BitSet {
        val done = inline.clone() as BitSet
        for (chunk in keys.withPrefix(Keys.chunks(id))) {
            val firstTask = chunk.key.substringAfterLast('/').toInt() * RecordWire.TASKS_PER_CHUNK
            val bits = RecordWire.decodeBits(chunk.value.text("done"))
            bits.stream().forEach { done.set(firstTask + it) }
        }
        return done
    }

    companion object {
        /** The keys that hold the description of a record for which one value of [valueBytes] is too small. */
        fun descriptionPartPuts(record: JobRecord, valueBytes: Int): List<Put> =
            RecordWire.encodeDescriptionParts(record, valueBytes).mapIndexed { number, part ->
                Put(Keys.descriptionPart(record.spec.id, number), part)
            }
    }
}
