package glenspool.state

/**
 * The layout of keys in the key-value store. All that a failover must know is under [LIVE], which every node caches;
 * final states are kept elsewhere, for ever, and are read one by one.
 */
object Keys {
    /** The prefix of all live keys. */
    const val LIVE = "g/"

    /** The leader's record; it is set with the leader's lease, and a leader's writes are conditioned on its version. */
    const val LEADERSHIP = "g/lead"

    /** The counter of fencing tokens. */
    const val TOKEN_COUNTER = "g/term"

    /** The machine types that the cloud offered last. */
    const val MACHINE_TYPES = "g/types"

    /** Which machine has which images cached, in several parts. */
    const val IMAGES = "g/images/"

    /** Job records. */
    const val JOB = "g/j/"

    /** Cancellations of jobs. */
    const val CANCEL = "g/c/"

    /** Chunks of done bits of jobs with many tasks. */
    const val CHUNK = "g/d/"

    /** Parts of descriptions that are too long for one value. */
    const val DESCRIPTION_PART = "g/s/"

    /** Placements that a record has no room for. */
    const val PLACEMENT_PART = "g/p/"

    /** The recovery record: its phase, and what operators have ordered for it. */
    const val RECOVERY = "g/recovery"

    /** Final states of jobs. */
    const val FINAL = "f/"

    /**
     * The rollout's records. All other live keys sort before this prefix, and that must stay so: a cache that is
     * loaded page by page reads the active level last, so it never holds a record of a level without the record of that
     * level.
     */
    const val ROLLOUT = "g/version/"

    /** The active level. */
    const val LEVEL = "g/version/level"

    /** What operators have ordered for the rollout. */
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
