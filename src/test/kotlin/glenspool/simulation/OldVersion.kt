package glenspool.simulation

import glenspool.state.Put
import glenspool.wire.Fields

/**
 * How the version in production reads and writes a job's record, written down once and not changed with the code: it
 * needs the description under `job`, reads only the fields below, and writes back only those. It leaves a record that
 * it can't read unchanged.
 */
object OldVersion {
    private val recordFields = setOf("job", "at", "last", "done", "on")
    private val jobFields =
        setOf(
            "uid", "lot", "crew", "weave", "urgency", "threads", "cpus", "accelerators", "memory_gb", "pattern",
            "size_gb", "frames", "hall", "same_place", "apart", "loaners", "expected_s", "knot_s", "knotting_s",
            "due_s",
        )
    private val optional = setOf("frames", "hall", "due_s")

    /** The record as that version reads it; null if it can't read it. */
    fun read(record: Fields): Fields? {
        val job = record["job"] as? Map<*, *> ?: return null
        val isComplete = job.keys.containsAll(jobFields - optional)
        if (!isComplete || record["at"] !is Long || record["last"] !is Long) return null
        return known(record)
    }

    /** What that version would store in place of a put. */
    fun rewrite(put: Put): Put = if (put.key.startsWith("g/j/")) put.copy(value = known(put.value)) else put

    private fun known(record: Fields): Fields =
        record.filterKeys { it in recordFields }.mapValues { (name, value) ->
            if (name == "job") (value as Map<*, *>).filterKeys { it in jobFields } else value
        }
}
