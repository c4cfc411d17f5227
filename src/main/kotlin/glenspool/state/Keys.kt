package glenspool.state

/**
 * The layout of keys in the key-value store. Everything that a new leader needs after a failover is stored under
 * [LIVE], which every node caches. Final states of jobs are stored outside of it, are never removed, and are read
 * individually.
 */
object Keys {
    /** The prefix of all live keys. */
    const val LIVE = "g/"

    /**
     * The leadership record. It is set with the leader's lease, and a leader's writes are conditioned on its version.
     */
    const val LEADERSHIP = "g/lead"

    /** The counter from which fencing tokens are issued. */
    const val TOKEN_COUNTER = "g/term"

    /** The machine types that the cloud offered when it was last read. */
    const val MACHINE_TYPES = "g/types"

    /** The prefix of the image locations (which machine has which images cached), stored in several parts. */
    const val IMAGES = "g/images/"

    /** The prefix of job records. */
    const val JOB = "g/j/"

    /** The prefix of job cancellations. */
    const val CANCEL = "g/c/"

    /** The prefix of the chunks of done bits of jobs with many tasks. */
    const val CHUNK = "g/d/"

    /** The prefix of the parts of descriptions that are too long for one value. */
    const val DESCRIPTION_PART = "g/s/"

    /** The prefix of the parts that hold the placements that do not fit into a job record. */
    const val PLACEMENT_PART = "g/p/"

    /** The recovery record: the phase, and the operators' orders for the recovery. */
    const val RECOVERY = "g/recovery"

    /** The prefix of the final states of jobs. */
    const val FINAL = "f/"

    /**
     * The prefix of the rollout's records. All other live keys must sort before this prefix. A cache that is loaded
     * page by page then reads the active level last, so it never holds a record in a level's form without the record of
     * that level.
     */
    const val ROLLOUT = "g/version/"

    /** The active level. */
    const val LEVEL = "g/version/level"

    /** The operators' orders for the rollout. */
    const val ROLLOUT_ORDERS = "g/version/orders"

    /** The progress of the rollout. */
    const val ROLLOUT_STATE = "g/version/state"

    fun job(id: String) = JOB + id

    fun cancel(id: String) = CANCEL + id

    fun images(part: Int) = "$IMAGES$part"

    fun final(id: String) = FINAL + id

    /** The prefix of all chunks of a job. */
    fun chunks(id: String) = "$CHUNK$id/"

    fun chunk(id: String, number: Int) = "$CHUNK$id/$number"

    fun descriptionPart(id: String, number: Int) = "$DESCRIPTION_PART$id/$number"

    fun placementPart(id: String, number: Int) = "$PLACEMENT_PART$id/$number"
}
