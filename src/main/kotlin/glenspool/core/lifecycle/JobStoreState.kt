package glenspool.core.lifecycle

import kotlin.time.Duration

/** What of a job is stored, and what is still to be stored, see [RecordWriteScheduler]. */
class JobStoreState {
    /** Counts changes that must be stored before the work can go on; [storedChanges] is the last stored one. */
    var changes = 0L
        private set
    private var storedChanges = 0L

    /** Since when there has been something that should be stored within a while. */
    var storeLaterSince: Duration? = null
        private set
    var isWriteInFlight = false
        private set

    /** A change was too large for the key-value store: nothing is tried again before this. */
    var notBefore: Duration = Duration.ZERO

    /** Whether there is something that must be stored before the work can go on. */
    val hasUrgentChanges: Boolean get() = changes > storedChanges

    /** Counts a change that must be stored before the work can go on; its number. */
    fun addUrgentChange(): Long = ++changes

    /** Something should be stored within a while. */
    fun addLaterChange(now: Duration) {
        if (storeLaterSince == null) storeLaterSince = now
    }

    /** A write is on its way; [includesResults]: it holds all that was to be stored later. */
    fun writeBegun(includesResults: Boolean) {
        isWriteInFlight = true
        if (includesResults) storeLaterSince = null
    }

    /** The write has ended, whatever its outcome. */
    fun writeEnded() {
        isWriteInFlight = false
    }

    /** Everything up to the change is stored. */
    fun changeStored(change: Long) {
        storedChanges = change
    }

    /** For failure messages. */
    override fun toString() = "changes=$storedChanges/$changes later=$storeLaterSince inFlight=$isWriteInFlight"
}
