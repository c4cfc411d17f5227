package glenspool.wire

import glenspool.core.model.JobRecord
import glenspool.core.model.StoredPlacement
import java.util.Base64
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds

/**
 * The stored form of a job's record: the user's description plus what has happened since. See docs/upgrade.md.
 *
 * A record that a version without dependencies must neither act on nor rewrite is *sealed*: its description stands
 * under `sealed` instead of `job`. That version takes it for unreadable, starts no task of it, stores nothing over it
 * and answers users with an error, upon which they ask again.
 *
 * | stored | here |
 * | --- | --- |
 * | `job` | the description, see [JobWire] |
 * | `at` | time of day of the submission, in milliseconds |
 * | `last` | the last attempt number given out |
 * | `done` | the done bits in Base64; larger jobs keep them in chunks under keys of their own |
 * | `on` | placements: a map from machine to pairs of task and attempt, in one list |
 * | `ready` | time of day at which the last dependency was done, in milliseconds |
 * | `waits` | in `sealed`: not all dependencies are done |
 * | `awaits` | the dependencies |
 * | `pieces` | in `sealed`: number of parts that hold the description; each has its text under `piece` |
 * | `shelves` | in `sealed`: the numbers of the parts that hold placements, each in the form of `on` |
 */
object RecordWire {
    /** Jobs of up to this many tasks keep their done bits in the record itself, larger ones in chunks. */
    const val MAX_INLINE_TASKS = JobRecord.MAX_INLINE_TASKS

    /** So many tasks have their done bits in one chunk. */
    const val TASKS_PER_CHUNK = JobRecord.TASKS_PER_CHUNK

    /** A record has fewer parts of each kind under keys of their own; a higher number is damage. */
    private const val MAX_PARTS = 10_000L

    /** How many bytes a part of a description takes besides its text. */
    private const val DESCRIPTION_PART_OVERHEAD = 64

    /** Parts of a record that are stored under keys of their own; null: there is no such part. */
    interface PartReader {
        fun descriptionPart(number: Int): Fields?

        fun placementPart(number: Int): Fields?
    }

    fun encode(record: JobRecord): Fields {
        val fields = LinkedHashMap<String, Any?>()
        if (needsSealing(record)) fields["sealed"] = sealed(record) else fields["job"] = JobWire.encode(record.spec)
        fields["at"] = record.submittedAt.inWholeMilliseconds
        fields["last"] = record.lastAttempt
        if (record.dependenciesDoneAt != null) fields["ready"] = record.dependenciesDoneAt.inWholeMilliseconds
        if (record.spec.tasks <= MAX_INLINE_TASKS && !record.done.isEmpty) fields["done"] = encodeBits(record.done)
        if (record.placements.isNotEmpty()) fields.putAll(encodePlacements(record.placements))
        return fields
    }

    private fun sealed(record: JobRecord): Fields {
        val fields = LinkedHashMap<String, Any?>()
        if (record.descriptionPartCount > 0) {
            fields["pieces"] = record.descriptionPartCount
        } else {
            fields.putAll(description(record))
        }
        if (record.dependencies.isNotEmpty()) fields["waits"] = true
        if (record.placementParts.isNotEmpty()) fields["shelves"] = record.placementParts.keys.toList()
        return fields
    }

    private fun description(record: JobRecord): Fields {
        val fields = linkedMapOf<String, Any?>("job" to JobWire.encode(record.spec))
        if (record.dependencies.isNotEmpty()) fields["awaits"] = record.dependencies
        return fields
    }

    /** Whether a record is stored in a form that builds before sealed records can't read. */
    fun needsSealing(record: JobRecord): Boolean {
        val isInParts = record.placementParts.isNotEmpty() || record.descriptionPartCount > 0
        return isInParts || record.dependencies.isNotEmpty()
    }

    /** Whether a stored record is in such a form. */
    fun isSealed(fields: Fields): Boolean = fields["sealed"] != null

    /** Whether a stored record waits for dependencies; decodes no more of it than that. */
    fun waitsForDependencies(fields: Fields): Boolean = (fields["sealed"] as? Map<*, *>)?.get("waits") == true

    /** The whole record; [parts] is asked for the parts of a sealed one. Done bits in chunks are left out. */
    fun decode(fields: Fields, parts: PartReader): JobRecord {
        @Suppress("UNCHECKED_CAST")
        val sealed = fields["sealed"] as? Fields
        val descriptionParts = descriptionPartCount(sealed)
        val description = if (descriptionParts > 0) joinDescription(descriptionParts, parts) else sealed ?: fields

        @Suppress("UNCHECKED_CAST")
        val job = description["job"] as? Fields ?: throw MalformedMessage("job", "missing")
        return JobRecord(
            spec = JobWire.decode(job),
            submittedAt = fields.count("at").milliseconds,
            lastAttempt = fields.count("last"),
            done = fields.textOrNull("done")?.let(::decodeBits) ?: BitSet(),
            placements = decodePlacements(fields),
            dependencies = if (waitsForDependencies(fields)) description.textsOrNull("awaits").orEmpty() else emptyList(),
            dependenciesDoneAt = if ("ready" in fields) fields.count("ready").milliseconds else null,
            placementParts = decodePlacementParts(sealed, parts),
            descriptionPartCount = descriptionParts,
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

    /** The description cut into parts of at most [bytes] as stored, for a record that would be too long with it. */
    fun encodeDescriptionParts(record: JobRecord, bytes: Int): List<Fields> =
        Base64
            .getEncoder()
            .encodeToString(Cbor.encode(description(record)))
            .chunked(bytes - DESCRIPTION_PART_OVERHEAD)
            .map { mapOf("piece" to it) }

    private fun decodePlacementParts(sealed: Fields?, parts: PartReader): Map<Int, List<StoredPlacement>> =
        (sealed?.get("shelves") as? List<*>)
            .orEmpty()
            .map { boundedNumber("shelves", it, MAX_PARTS) }
            .associateWith { parts.placementPart(it)?.let(::decodePlacements).orEmpty() }

    /** Placements as they are stored in a record or in a part of it. */
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
                    boundedNumber("on", task, MAX_TASKS_PER_JOB), wholeNumber("on", attempt),
                    machine
                        .toString(),
                )
            }
        }
    }

    /** Done bits, of a whole job or of one chunk, as Base64. */
    fun encodeBits(bits: BitSet): String = Base64.getEncoder().encodeToString(bits.toByteArray())

    fun decodeBits(text: String): BitSet =
        try {
            BitSet.valueOf(Base64.getDecoder().decode(text))
        } catch (e: IllegalArgumentException) {
            throw MalformedMessage("bits", "${e.message}")
        }
}
