package glenspool.wire

import glenspool.core.model.JobRecord
import glenspool.core.model.StoredPlacement
import java.util.Base64
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds

/**
 * The stored form of a job's record, which holds the user's description and the job's progress. See docs/upgrade.md.
 *
 * A record is *sealed* if a version without dependencies must neither act on it nor rewrite it. Its description is then
 * stored in `sealed` instead of `job`. The older version can't read such a record. It starts no task of the job, does
 * not overwrite the record and answers users with an error, after which they repeat their request.
 *
 * | stored | here |
 * | --- | --- |
 * | `job` | the description, see [JobWire] |
 * | `at` | time of the submission, in milliseconds since the epoch |
 * | `last` | the highest attempt number used so far |
 * | `done` | the done bits in Base64; those of larger jobs are stored in chunks under separate keys |
 * | `on` | placements: a map from machine to a flat list of pairs of task and attempt |
 * | `ready` | time at which the last dependency was done, in milliseconds since the epoch |
 * | `waits` | in `sealed`: not all dependencies are done |
 * | `awaits` | the dependencies |
 * | `pieces` | in `sealed`: number of parts that hold the description; each has its text under `piece` |
 * | `shelves` | in `sealed`: the numbers of the parts that hold placements, each in the form of `on` |
 */
object RecordWire {
    /** Jobs of up to this many tasks store their done bits in the record itself, larger jobs store them in chunks. */
    const val MAX_INLINE_TASKS = JobRecord.MAX_INLINE_TASKS

    /** The number of tasks whose done bits are in one chunk. */
    const val TASKS_PER_CHUNK = JobRecord.TASKS_PER_CHUNK

    /**
     * Every record has fewer parts of each kind under separate keys. A stored count or part number that is not below
     * this limit means that the record is damaged.
     */
    private const val MAX_PARTS = 10_000L

    /** The size in bytes of a part of a description without its text. */
    private const val DESCRIPTION_PART_OVERHEAD = 64

    /** Reads the parts of a record that are stored under separate keys. Returns null for a part that does not exist. */
    interface PartReader {
        fun descriptionPart(number: Int): Fields?

        fun placementPart(number: Int): Fields?
    }

    fun encode(record: JobRecord): Fields {
        val fields = LinkedHashMap<String, Any?>()
        if (needsSealing(record)) fields["sealed"] = toSealed(record) else fields["job"] = JobWire.encode(record.spec)
        fields["at"] = record.submittedAt.inWholeMilliseconds
        fields["last"] = record.lastAttempt
        if (record.dependenciesDoneAt != null) fields["ready"] = record.dependenciesDoneAt.inWholeMilliseconds
        if (record.spec.tasks <= MAX_INLINE_TASKS && !record.done.isEmpty) fields["done"] = encodeBits(record.done)
        if (record.placements.isNotEmpty()) fields.putAll(encodePlacements(record.placements))
        return fields
    }

    private fun toSealed(record: JobRecord): Fields {
        val fields = LinkedHashMap<String, Any?>()
        if (record.descriptionPartCount > 0) {
            fields["pieces"] = record.descriptionPartCount
        } else {
            fields.putAll(encodeDescription(record))
        }
        if (record.dependencies.isNotEmpty()) fields["waits"] = true
        if (record.placementParts.isNotEmpty()) fields["shelves"] = record.placementParts.keys.toList()
        return fields
    }

    private fun encodeDescription(record: JobRecord): Fields {
        val fields = linkedMapOf<String, Any?>("job" to JobWire.encode(record.spec))
        if (record.dependencies.isNotEmpty()) fields["awaits"] = record.dependencies
        return fields
    }

    /** Whether a record must be stored in the sealed form, which builds before sealed records can't read. */
    fun needsSealing(record: JobRecord): Boolean {
        val isInParts = record.placementParts.isNotEmpty() || record.descriptionPartCount > 0
        return isInParts || record.dependencies.isNotEmpty()
    }

    /** Whether a stored record is sealed. */
    fun isSealed(fields: Fields): Boolean = fields["sealed"] != null

    /** Whether a stored record waits for dependencies. The rest of the record is not decoded. */
    fun waitsForDependencies(fields: Fields): Boolean = (fields["sealed"] as? Map<*, *>)?.get("waits") == true

    /**
     * Decodes a record, but not the done bits that are stored in chunks.
     *
     * @param parts reads the parts of a sealed record
     */
    fun decode(fields: Fields, parts: PartReader): JobRecord {
        @Suppress("UNCHECKED_CAST")
        val sealed = fields["sealed"] as? Fields
        val partCount = descriptionPartCount(sealed)
        val description = if (partCount > 0) joinDescription(partCount, parts) else sealed ?: fields

        @Suppress("UNCHECKED_CAST")
        val job = description["job"] as? Fields ?: throw MalformedMessage("job", "missing")
        return JobRecord(
            spec = JobWire.decode(job),
            submittedAt = fields.count("at").milliseconds,
            lastAttempt = fields.count("last"),
            done = fields.textOrNull("done")?.let(::decodeBits) ?: BitSet(),
            placements = decodePlacements(fields),
            dependencies =
                if (waitsForDependencies(fields)) description.textsOrNull("awaits").orEmpty() else emptyList(),
            dependenciesDoneAt = if ("ready" in fields) fields.count("ready").milliseconds else null,
            placementParts = decodePlacementParts(sealed, parts),
            descriptionPartCount = partCount,
        )
    }

    private fun descriptionPartCount(sealed: Fields?): Int {
        if (sealed == null || "pieces" !in sealed) return 0
        return boundedNumber("pieces", sealed["pieces"], MAX_PARTS)
    }

    private fun joinDescription(count: Int, parts: PartReader): Fields {
        val pieces =
            (0 until count).map { parts.descriptionPart(it) ?: throw MalformedMessage("piece $it", "missing") }
        try {
            return Cbor.decodeMap(Base64.getDecoder().decode(pieces.joinToString("") { it.text("piece") }))
        } catch (e: IllegalArgumentException) {
            throw MalformedMessage("pieces", "${e.message}")
        }
    }

    /**
     * Encodes the description in parts, for a record that would be too long with the description in it.
     *
     * @param maxBytes the highest size of a stored part
     */
    fun encodeDescriptionParts(record: JobRecord, maxBytes: Int): List<Fields> =
        Base64
            .getEncoder()
            .encodeToString(Cbor.encode(encodeDescription(record)))
            .chunked(maxBytes - DESCRIPTION_PART_OVERHEAD)
            .map { mapOf("piece" to it) }

    private fun decodePlacementParts(sealed: Fields?, parts: PartReader): Map<Int, List<StoredPlacement>> =
        (sealed?.get("shelves") as? List<*>)
            .orEmpty()
            .map { boundedNumber("shelves", it, MAX_PARTS) }
            .associateWith { parts.placementPart(it)?.let(::decodePlacements).orEmpty() }

    /** Encodes placements as they are stored in a record or in a part of a record. */
    fun encodePlacements(placements: List<StoredPlacement>): Fields {
        val byMachine =
            placements.groupBy { it.machine }.mapValues { (_, onMachine) ->
                onMachine.flatMap { listOf(it.task.toLong(), it.attempt) }
            }
        return mapOf("on" to byMachine)
    }

    private fun decodePlacements(fields: Fields): List<StoredPlacement> {
        val byMachine = fields["on"] ?: return emptyList()
        if (byMachine !is Map<*, *>) throw MalformedMessage("on", "a map is needed")
        return byMachine.entries.flatMap { (machine, numbers) ->
            if (numbers !is List<*> || numbers.size % 2 != 0) {
                throw MalformedMessage("on", "pairs of numbers are needed")
            }
            numbers.chunked(2).map { (task, attempt) ->
                StoredPlacement(
                    boundedNumber("on", task, MAX_TASKS_PER_JOB),
                    wholeNumber("on", attempt),
                    machine.toString(),
                )
            }
        }
    }

    /** Encodes done bits, either of a whole job or of one chunk, in Base64. */
    fun encodeBits(bits: BitSet): String = Base64.getEncoder().encodeToString(bits.toByteArray())

    fun decodeBits(text: String): BitSet =
        try {
            BitSet.valueOf(Base64.getDecoder().decode(text))
        } catch (e: IllegalArgumentException) {
            throw MalformedMessage("bits", "${e.message}")
        }
}
