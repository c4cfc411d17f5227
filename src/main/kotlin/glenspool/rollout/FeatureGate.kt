package glenspool.rollout

/**
 * Permission to write a stored form.
 *
 * @property levelVersion the version of the level record on which the write must be conditioned; null if there is no
 *   condition
 */
data class WritePermit(val levelVersion: Long?) {
    companion object {
        /** The permit in services whose levels are not managed. */
        val UNCONDITIONAL = WritePermit(null)
    }
}

/** Decides which stored forms may be written. Code that writes a form above the base level needs a permit. */
interface FeaturePermits {
    /** Whether the level's forms are to be used where they are useful but not required. */
    fun isInUse(level: Int): Boolean

    /** Returns the permit to write a form of the level, or null if it must not be written now. */
    fun permit(level: Int): WritePermit?
}

/** Permits every write, in services without managed levels. Forms are in use once [canAllRead] returns true. */
class UnmanagedFeatures(private val canAllRead: () -> Boolean) : FeaturePermits {
    override fun isInUse(level: Int): Boolean = canAllRead()

    override fun permit(level: Int): WritePermit = WritePermit.UNCONDITIONAL
}

/**
 * Why this process must not lead, accept requests or confirm anything: its build does not read the active level.
 *
 * @property neededLevel the active level
 * @property neededName the active level's name
 * @property ownLevels the levels that this process reads
 */
data class Fence(val neededLevel: Int, val neededName: String, val ownLevels: BuildLevels) {
    override fun toString(): String {
        val readable = "build ${ownLevels.build} reads levels ${ownLevels.lowest} to ${ownLevels.highest}"
        return "level $neededLevel ($neededName) is active, and $readable"
    }
}

/**
 * Derives from the stored level what this process may do. The level is read at each call, so it is as recent as the
 * store cache. A permit carries the level record's version, so a write that arrives after the level was left fails on
 * that condition, regardless of its delay.
 */
class FeatureGate(private val ownLevels: BuildLevels, private val stored: () -> Stored<LevelRecord>) : FeaturePermits {
    override fun isInUse(level: Int): Boolean = permit(level) != null

    override fun permit(level: Int): WritePermit? {
        val record = stored() as? Stored.Present ?: return null
        if (!ownLevels.reads(record.value.level) || level > record.value.highestWritable) return null
        return WritePermit(record.version)
    }

    /**
     * Returns why this process must not serve, or null if it may. A record that can't be decoded names no level, so it
     * does not fence the process but only forbids the forms above the base level.
     */
    fun fence(): Fence? =
        when (val record = stored()) {
            is Stored.Present -> fence(record.value.level, record.value.name)
            Stored.Absent -> fence(FeatureRegistry.BASE, FeatureRegistry.BASE_NAME)
            Stored.NotRead, is Stored.Unreadable -> null
        }

    private fun fence(level: Int, name: String): Fence? =
        if (ownLevels.reads(level)) null else Fence(level, name, ownLevels)
}
