package glenspool.state

import glenspool.core.model.JobRecord
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import glenspool.wire.RecordWire
import glenspool.wire.StoreWire
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
        val record = readWithoutChunks(id, value)
        if (record.spec.tasks <= RecordWire.MAX_INLINE_TASKS) return record
        return record.copy(done = addChunks(id, record))
    }

    /**
     * Same as [read], but without the done bits of large jobs, which are stored in chunks.
     *
     * @throws MalformedMessage if any other part of the record can't be decoded
     */
    fun readWithoutChunks(id: String, value: Fields): JobRecord = RecordWire.decode(value, partReaderOf(id))

    private fun partReaderOf(id: String) =
        object : RecordWire.PartReader {
            override fun descriptionPart(number: Int) = keys.get(Keys.descriptionPart(id, number))?.value

            override fun placementPart(number: Int) = keys.get(Keys.placementPart(id, number))?.value
        }

    private fun addChunks(id: String, record: JobRecord): BitSet {
        val done = record.done.clone() as BitSet
        for (chunk in keys.withPrefix(Keys.chunks(id))) addChunk(chunk, record.spec.tasks, done)
        return done
    }

    /** Adds the done bits of [chunk] to those of a job with [tasks] tasks. */
    private fun addChunk(chunk: StoreWire.Item, tasks: Int, done: BitSet) {
        val firstTask = chunkNumber(chunk.key, tasks) * RecordWire.TASKS_PER_CHUNK
        val bits = decodeChunk(chunk)
        if (bits.length() > minOf(RecordWire.TASKS_PER_CHUNK, tasks - firstTask)) {
            throw MalformedMessage(chunk.key, "done bits of tasks that the job or the chunk does not have")
        }
        bits.stream().forEach { done.set(firstTask + it) }
    }

    private fun chunkNumber(key: String, tasks: Int): Int {
        val number = key.substringAfterLast('/').toIntOrNull()
        val chunkCount = (tasks - 1) / RecordWire.TASKS_PER_CHUNK + 1
        if (number == null || number !in 0 until chunkCount) {
            throw MalformedMessage(key, "does not end in the number of one of the job's $chunkCount chunks")
        }
        return number
    }

    private fun decodeChunk(chunk: StoreWire.Item): BitSet =
        try {
            RecordWire.decodeBits(chunk.value.text("done"))
        } catch (e: MalformedMessage) {
            throw MalformedMessage(chunk.key, e.message.orEmpty())
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
