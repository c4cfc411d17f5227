package glenspool.wire

import glenspool.core.model.JobEnd

/** How a job ended, for ever. */
object FinalWire {
    fun encode(end: JobEnd, tasks: Int, cutBy: String?): Fields {
        val m =
            linkedMapOf<String, Any?>(
                "end" to
                    if (end ==
                        JobEnd.DONE
                    ) {
                        "done"
                    } else {
                        "cancelled"
                    },
                "tasks" to tasks.toLong(),
            )
        if (cutBy != null) m["with"] = cutBy
        return m
    }

    fun end(m: Fields): JobEnd = if (m["end"] == "done") JobEnd.DONE else JobEnd.CANCELLED

    /** The cancelled job that it needed, if that is why it ended. */
    fun cutBy(m: Fields): String? = m["with"] as? String

    fun answer(id: String, m: Fields): Fields =
        when (end(m)) {
            JobEnd.DONE -> JobWire.status(id, Stage.DONE, (m["tasks"] as? Long ?: 0L).toInt(), 0)
            JobEnd.CANCELLED -> JobWire.status(id, Stage.CANCELLED, cutBy = cutBy(m))
        }
}
