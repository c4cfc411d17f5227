package glenspool.state

import glenspool.wire.RecordWire

/**
 * The keys in use. All that a take-over must know is under [LIVE]; final answers are kept apart, for ever, and
 * are looked up one by one.
 */
object Keys {
    const val LIVE = "g/"
    const val LEAD = "g/lead"
    const val TERM = "g/term"
    const val TYPES = "g/types"
    const val IMAGES = "g/images/"
    const val JOB = "g/j/"
    const val CANCEL = "g/c/"
    const val CHUNK = "g/d/"

    /** Pieces of descriptions that are too long for one value. */
    const val DESCRIPTION_PART = "g/s/"

    /** Places that a record has no room for. */
    const val PLACEMENT_PART = "g/p/"

    /** How far a recovery is, and what operators ordered for it. */
    const val RECOVERY = "g/recovery"
    const val FINAL = "f/"

    /**
     * The rollout's records. All other live keys sort before this prefix, and that must stay so: a replica that is
     * loaded page by page reads the active level last, so it never holds a record of a level without the record of that
     * level.
     */
    const val ROLLOUT = "g/version/"

    /** The active level. */
    const val LEVEL = "g/version/level"
    const val ROLLOUT_ORDERS = "g/version/orders"
    const val ROLLOUT_STATE = "g/version/state"

    fun job(id: String) = JOB + id

    fun cancel(id: String) = CANCEL + id

    fun images(part: Int) = "$IMAGES$part"

    fun final(id: String) = FINAL + id

    fun chunks(id: String) = "$CHUNK$id/"

    fun chunk(id: String, n: Int) = "$CHUNK$id/$n"

    fun descriptionPart(id: String, n: Int) = "$DESCRIPTION_PART$id/$n"

    fun placementPart(id: String, n: Int) = "$PLACEMENT_PART$id/$n"

    fun chunkCount(tasks: Int): Int =
        if (tasks <=
            RecordWire.INLINE_TASKS
        ) {
            0
        } else {
            (tasks + RecordWire.CHUNK_TASKS - 1) / RecordWire.CHUNK_TASKS
        }
}
