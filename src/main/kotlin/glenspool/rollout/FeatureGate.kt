package glenspool.rollout

/** Permission to write a form. The write must be conditioned on the level record's version, if there is one. */
data class WritePermit(val levelVersion: Long?) {
    companion object {
        /** For services in which levels are not managed. */
        val UNCONDITIONAL = WritePermit(null)
    }
}

/** Which forms may be written. All code that writes a form of a higher level asks here, and nowhere else. */
interface FeaturePermits {
    /** Whether the level's forms are to be used where they are merely useful. */
    fun inUse(level: Int): Boolean

    /** The permit to write in a form of the level; null: it must not be written now. */
    fun permit(level: Int): WritePermit?
}

/** Where levels are not managed: each process finds out by itself whether [allRead], and nothing is forbidden. */
class UnmanagedFeatures(private val allRead: () -> Boolean) : FeaturePermits {
    override fun inUse(level: Int): Boolean = allRead()

    override fun permit(level: Int): WritePermit = WritePermit.UNCONDITIONAL
}

/** Why this process must not lead, accept or confirm anything. */
data class Fence(val neededLevel: Int, val neededName: String, val own: BuildLevels) {
    override fun toString(): String = "level $neededLevel ($neededName) is active, and build ${own.build} reads levels ${own.lowest} to ${own.highest}"
}

/**
 * What the stored level means for this process. The level is read anew at each question, so it is as new as the
 * replica. A permit carries the record's version: a write that arrives after the level was left fails on that
 * condition, however late it is.
 */
class FeatureGate(private val own: BuildLevels, private val stored: () -> Stored<LevelRecord>) : FeaturePermits {
    override fun inUse(level: Int): Boolean = permit(level) != null

    override fun permit(level: Int): WritePermit? {
        val record = stored() as? Stored.Present ?: return null
        if (!own.reads(record.value.level) || level > record.value.written) return null
        return WritePermit(record.version)
    }

    /**
     * Null: this process may serve. What can't be read names no level, so it fences nobody; it only forbids higher
     * forms.
     */
    fun fence(): Fence? {
        val record =
            when (val fact = stored()) {
                is Stored.Present -> fact.value
                Stored.Absent -> return if (own.reads(FeatureRegistry.BASE)) null else Fence(FeatureRegistry.BASE, FeatureRegistry.BASE_NAME, own)
                Stored.NotRead, is Stored.Unreadable -> return null
            }
        return if (own.reads(record.level)) null else Fence(record.level, record.name, own)
    }
}
