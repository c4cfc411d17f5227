package glenspool.simulation

import glenspool.state.Put
import glenspool.wire.Fields

/**
 * Reads and writes a job's record in the way of the version in production. This code is fixed and must not change with
 * the main code. The version in production requires the description under `job`, reads only the fields below, and
 * writes back only those. It leaves a record that it can't read unchanged.
 */
object OldVersion {
    private val recordFields = setOf("job", "at", "last", "done", "on")
    private val jobFields =
        setOf(
            "uid", "lot", "crew", "weave", "urgency", "threads", "cpus", "accelerators", "memory_gb", "pattern",
            "size_gb", "frames", "hall", "same_place", "apart", "loaners", "expected_s", "knot_s", "knotting_s",
            "due_s",
        )
    private val optionalJobFields = setOf("frames", "hall", "due_s")

    /** Returns the record as the version in production reads it, or null if that version can't read it. */
    fun read(record: Fields): Fields? {
        val job = record["job"] as? Map<*, *> ?: return null
        val isComplete = job.keys.containsAll(jobFields - optionalJobFields)
        if (!isComplete || record["at"] !is Long || record["last"] !is Long) return null
        return retainReadFields(record)
    }

    /** Returns the put that the version in production would store instead of [put]. */
    fun rewrite(put: Put): Put = if (put.key.startsWith("g/j/")) put.copy(value = retainReadFields(put.value)) else put

    private fun retainReadFields(record: Fields): Fields =
        record.filterKeys { it in recordFields }.mapValues { (name, value) ->
            if (name == "job") (value as Map<*, *>).filterKeys { it in jobFields } else value
        }
}
