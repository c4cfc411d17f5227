package glenspool.wire

import glenspool.core.model.JobRecord
import glenspool.core.model.StoredPlacement
import java.util.Base64
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds

/**
 * Jobs as the state service keeps them: the user's own words plus what has happened since. See docs/upgrade.md.
 *
 * A record that a version before pipelines must neither act on nor rewrite is *sealed*: its description stands under
 * `sealed` instead of `job`. That version takes it for unreadable, starts nothing of it, stores nothing over it and
 * answers users with an error, upon which they ask again.
 */
object RecordWire {
    /** Jobs of up to this many tasks keep their done bits in the record itself, larger ones in chunks. */
    const val INLINE_TASKS = glenspool.core.model.JobRecord.MAX_INLINE_TASKS
    const val CHUNK_TASKS = glenspool.core.model.JobRecord.TASKS_PER_CHUNK

    fun encode(r: JobRecord): Fields {
        val m = LinkedHashMap<String, Any?>()
        if (needsSealing(r)) m["sealed"] = sealed(r) else m["job"] = JobWire.encode(r.spec)
        m["at"] = r.submitted.inWholeMilliseconds
        m["last"] = r.lastAttempt
        if (r.dependenciesDoneAt != null) m["ready"] = r.dependenciesDoneAt.inWholeMilliseconds
        if (r.spec.tasks <= INLINE_TASKS && !r.done.isEmpty) m["done"] = encodeBits(r.done)
        if (r.placements.isNotEmpty()) m.putAll(encodePlaces(r.placements))
        return m
    }

    private fun sealed(r: JobRecord): Fields {
        val m = LinkedHashMap<String, Any?>()
        if (r.descriptionParts > 0) m["pieces"] = r.descriptionParts else m.putAll(description(r))
        if (r.dependencies.isNotEmpty()) m["waits"] = true
        if (r.placementParts.isNotEmpty()) m["shelves"] = r.placementParts.keys.toList()
        return m
    }

    private fun description(r: JobRecord): Fields {
        val m = linkedMapOf<String, Any?>("job" to JobWire.encode(r.spec))
        if (r.dependencies.isNotEmpty()) m["awaits"] = r.dependencies
        return m
    }

    /** The description cut into pieces of at most [bytes] as stored, for a record that would be too long with it. */
    fun encodeDescriptionParts(r: JobRecord, bytes: Int): List<Fields> =
        Base64.getEncoder().encodeToString(Cbor.encode(description(r))).chunked(bytes - DESCRIPTION_PART_OVERHEAD).map {
            mapOf(
                "piece" to it,
            )
        }

    fun encodePlaces(places: List<StoredPlacement>): Fields =
        mapOf(
            "on" to
                places.groupBy { it.machine }.mapValues { (_, l) ->
                    l.flatMap { listOf(it.task.toLong(), it.attempt) }
                },
        )

    /** A place is stored as two numbers, the task and its attempt, under its machine's name. */
    fun decodePlaces(m: Fields): List<StoredPlacement> {
        val on = m["on"] ?: return emptyList()
        if (on !is Map<*, *>) throw MalformedMessage("on: a map is needed")
        return on.entries.flatMap { (machine, numbers) ->
            if (numbers !is List<*> || numbers.size % 2 != 0) throw MalformedMessage("on: pairs of numbers are needed")
            numbers.chunked(2).map { (task, attempt) ->
                StoredPlacement(boundedNumber("on", task, MAX_TASKS), number("on", attempt), machine.toString())
            }
        }
    }

    private fun number(name: String, value: Any?): Long = (value as? Long)?.takeIf { it >= 0 } ?: throw MalformedMessage("$name: a whole number is needed")

    private fun boundedNumber(name: String, value: Any?, bound: Long): Int = number(name, value).takeIf { it < bound }?.toInt() ?: throw MalformedMessage("$name: out of range")

    /** Whether a stored record is in a form that builds before sealed records can't read. */
    fun isSealed(m: Fields): Boolean = m["sealed"] != null

    /** Whether a record would be stored in such a form. */
    fun needsSealing(r: JobRecord): Boolean = r.dependencies.isNotEmpty() || r.placementParts.isNotEmpty() || r.descriptionParts > 0

    /** Whether a stored record waits for other jobs, without reading all of it. */
    fun waits(m: Fields): Boolean = (m["sealed"] as? Map<*, *>)?.get("waits") == true

    /** What belongs to the record but is stored under keys of its own. */
    interface Apart {
        fun descriptionPart(n: Int): Fields?

        fun placementPart(n: Int): Fields?
    }

    /** [apart]: where a sealed record's other parts are looked up. */
    fun decode(m: Fields, apart: Apart): JobRecord {
        @Suppress("UNCHECKED_CAST")
        val sealed = m["sealed"] as? Fields
        val descriptionParts =
            if (sealed != null &&
                "pieces" in sealed
            ) {
                boundedNumber("pieces", sealed["pieces"], MAX_PARTS)
            } else {
                0
            }
        val described =
            if (descriptionParts >
                0
            ) {
                join((0 until descriptionParts).map { apart.descriptionPart(it) ?: throw MalformedMessage("piece $it: missing") })
            } else {
                sealed
                    ?: m
            }

        @Suppress("UNCHECKED_CAST")
        val job = JobWire.decode(described["job"] as? Fields ?: throw MalformedMessage("job: missing"))
        return JobRecord(
            spec = job,
            submitted = m.count("at").milliseconds,
            lastAttempt = m.count("last"),
            done = m.textOrNull("done")?.let { decodeBits(it) } ?: BitSet(),
            placements = decodePlaces(m),
            dependencies = if (waits(m)) described.textsOrNull("awaits").orEmpty() else emptyList(),
            dependenciesDoneAt = if ("ready" in m) m.count("ready").milliseconds else null,
            placementParts =
                (sealed?.get("shelves") as? List<*>)
                    .orEmpty()
                    .map { boundedNumber("shelves", it, MAX_PARTS) }
                    .associateWith { n -> apart.placementPart(n)?.let(::decodePlaces).orEmpty() },
            descriptionParts = descriptionParts,
        )
    }

    private fun join(descriptionParts: List<Fields>): Fields =
        try {
            Cbor.decodeMap(Base64.getDecoder().decode(descriptionParts.joinToString("") { it.text("piece") }))
        } catch (e: IllegalArgumentException) {
            throw MalformedMessage("pieces: ${e.message}")
        }

    /** A record has fewer parts of each kind under keys of their own; a higher number is damage. */
    private const val MAX_PARTS = 10_000L

    /** What a piece takes besides its text. */
    private const val DESCRIPTION_PART_OVERHEAD = 64

    fun encodeBits(b: BitSet): String = Base64.getEncoder().encodeToString(b.toByteArray())

    fun decodeBits(s: String): BitSet =
        try {
            BitSet.valueOf(Base64.getDecoder().decode(s))
        } catch (e: IllegalArgumentException) {
            throw MalformedMessage("bits: ${e.message}")
        }
}
