package glenspool.simulation

import glenspool.state.Put
import glenspool.wire.Fields

/**
 * What the version in production makes of a job's record, written down once and not changed with the code: it needs the
 * description under `job`, looks at the fields below alone, and writes back only those. What it can't read it leaves
 * be.
 */
object OldVersion {
    private val recordFields = setOf("job", "at", "last", "done", "on")
    private val jobFields =
        setOf(
            "uid", "lot", "crew", "weave", "urgency", "threads", "cpus", "accelerators", "memory_gb", "pattern", "size_gb", "frames", "hall",
            "same_place", "apart", "loaners", "expected_s", "knot_s", "knotting_s", "due_s",
        )
    private val optional = setOf("frames", "hall", "due_s")

    /** The record as it sees it; null if it is unreadable to it. */
    fun reads(record: Fields): Fields? {
        val job = record["job"] as? Map<*, *> ?: return null
        if (!job.keys.containsAll(jobFields - optional) || record["at"] !is Long || record["last"] !is Long) return null
        return known(record)
    }

    /** What it would store in place of what is to be stored. */
    fun rewrites(p: Put): Put = if (p.key.startsWith("g/j/")) p.copy(value = known(p.value)) else p

    private fun known(record: Fields): Fields =
        record.filterKeys { it in recordFields }.mapValues { (k, v) ->
            if (k == "job") (v as Map<*, *>).filterKeys { it in jobFields } else v
        }
}
