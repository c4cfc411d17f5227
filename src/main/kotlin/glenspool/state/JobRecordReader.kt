package glenspool.state

import glenspool.core.model.JobRecord
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import glenspool.wire.RecordWire
import glenspool.wire.text
import java.util.BitSet

/**
 * Reads complete job records, including the done bits, placements and description parts that are stored under separate
 * keys.
 */
class JobRecordReader(private val keys: LiveKeyReader) {
    /**
     * Returns the record of the job [id].
     *
     * @param value what is stored under the job's main key
     * @throws MalformedMessage if any part of the record can't be decoded
     */
    fun read(id: String, value: Fields): JobRecord {
        val record = RecordWire.decode(value, partReaderOf(id))
        if (record.spec.tasks <= RecordWire.MAX_INLINE_TASKS) return record
        return record.copy(done = addChunks(id, record.done))
    }

    private fun partReaderOf(id: String) =
        object : RecordWire.PartReader {
            override fun descriptionPart(number: Int) = keys.get(Keys.descriptionPart(id, number))?.value

            override fun placementPart(number: Int) = keys.get(Keys.placementPart(id, number))?.value
        }

    private fun addChunks(id: String, inlineBits: BitSet): BitSet {
        val done = inlineBits.clone() as BitSet
        for (chunk in keys.withPrefix(Keys.chunks(id))) {
            val firstTask = chunk.key.substringAfterLast('/').toInt() * RecordWire.TASKS_PER_CHUNK
            val bits = RecordWire.decodeBits(chunk.value.text("done"))
            bits.stream().forEach { done.set(firstTask + it) }
        }
        return done
    }

    companion object {
        /**
         * Returns the puts that store the description of a record in parts, which is needed if the record does not fit
         * into one value of [valueBytes].
         */
        fun descriptionPartPuts(record: JobRecord, valueBytes: Int): List<Put> =
            RecordWire.encodeDescriptionParts(record, valueBytes).mapIndexed { number, part ->
                Put(Keys.descriptionPart(record.spec.id, number), part)
            }
    }
}
