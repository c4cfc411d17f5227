package glenspool.wire

import glenspool.core.model.FinalState

/** How a job ended, for ever. */
object FinalWire {
    fun encode(end: FinalState, tasks: Int, abortedBy: String?): Fields {
        val m =
            linkedMapOf<String, Any?>(
                "end" to
                    if (end ==
                        FinalState.DONE
                    ) {
                        "done"
                    } else {
                        "cancelled"
                    },
                "tasks" to tasks.toLong(),
            )
        if (abortedBy != null) m["with"] = abortedBy
        return m
    }

    fun end(m: Fields): FinalState = if (m["end"] == "done") FinalState.DONE else FinalState.CANCELLED

    /** The cancelled job that it needed, if that is why it ended. */
    fun abortedBy(m: Fields): String? = m["with"] as? String

    fun answer(id: String, m: Fields): Fields =
        when (end(m)) {
            FinalState.DONE -> JobWire.status(id, Stage.DONE, (m["tasks"] as? Long ?: 0L).toInt(), 0)
            FinalState.CANCELLED -> JobWire.status(id, Stage.CANCELLED, abortedBy = abortedBy(m))
        }
}
