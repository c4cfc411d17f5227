package glenspool.wire

import glenspool.core.model.FinalState

/**
 * The stored form of a job's final state, which is kept for ever.
 *
 * | stored | here |
 * | --- | --- |
 * | `end` | `done` or `cancelled` |
 * | `tasks` | the job's number of tasks |
 * | `with` | the dependency whose cancellation cancelled this job |
 */
object FinalStateWire {
    /** [abortedBy]: the cancelled dependency, if that is why the job ended. */
    fun encode(end: FinalState, tasks: Int, abortedBy: String?): Fields {
        val fields =
            linkedMapOf<String, Any?>(
                "end" to if (end == FinalState.DONE) "done" else "cancelled",
                "tasks" to tasks.toLong(),
            )
        if (abortedBy != null) fields["with"] = abortedBy
        return fields
    }

    /** How the job ended. */
    fun finalState(fields: Fields): FinalState = if (fields["end"] == "done") FinalState.DONE else FinalState.CANCELLED

    /** The cancelled dependency, if that is why the job ended. */
    fun abortedBy(fields: Fields): String? = fields["with"] as? String

    /** The status that users get of the job [id], which ended so. */
    fun status(id: String, fields: Fields): Fields =
        when (finalState(fields)) {
            FinalState.DONE -> JobWire.status(id, Stage.DONE, (fields["tasks"] as? Long ?: 0L).toInt(), 0)
            FinalState.CANCELLED -> JobWire.status(id, Stage.CANCELLED, abortedBy = abortedBy(fields))
        }
}
