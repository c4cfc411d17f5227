package glenspool.wire

import glenspool.core.model.FinalState

/**
 * The stored form of a job's final state, which is never removed.
 *
 * | stored | here |
 * | --- | --- |
 * | `end` | `done` or `cancelled` |
 * | `tasks` | the job's number of tasks |
 * | `with` | the dependency whose cancellation cancelled this job |
 */
object FinalStateWire {
    /** @param abortedBy the dependency whose cancellation cancelled the job; null if there is none */
    fun encode(state: FinalState, tasks: Int, abortedBy: String?): Fields {
        val fields =
            linkedMapOf<String, Any?>(
                "end" to if (state == FinalState.DONE) "done" else "cancelled",
                "tasks" to tasks.toLong(),
            )
        if (abortedBy != null) fields["with"] = abortedBy
        return fields
    }

    /** Decodes the state in which the job ended. */
    fun finalState(fields: Fields): FinalState = if (fields["end"] == "done") FinalState.DONE else FinalState.CANCELLED

    /** Decodes the dependency whose cancellation cancelled the job; null if there is none. */
    fun abortedBy(fields: Fields): String? = fields["with"] as? String

    /** Returns the status that users receive for the ended job [id], from its stored final state. */
    fun status(id: String, fields: Fields): Fields =
        when (finalState(fields)) {
            FinalState.DONE -> JobWire.status(id, Stage.DONE, (fields["tasks"] as? Long ?: 0L).toInt(), 0)
            FinalState.CANCELLED -> JobWire.status(id, Stage.CANCELLED, abortedBy = abortedBy(fields))
        }
}
