package glenspool.core.lifecycle

import kotlin.time.Duration

/** What of a job is stored, and what is still to be stored, see [RecordWriteScheduler]. */
class JobStoreState {
    /** Counts changes that must be stored before the work can go on; [storedChanges] is the last stored one. */
    var urgentChanges = 0L
        private set
    private var storedChanges = 0L

    /** Since when there has been something that should be stored within a while. */
    var deferredChangeSince: Duration? = null
        private set
    var isWriteInFlight = false
        private set

    /** A change was too large for the key-value store: nothing is tried again before this. */
    var notBefore: Duration = Duration.ZERO

    /** Whether there is something that must be stored before the work can go on. */
    val hasUrgentChanges: Boolean get() = urgentChanges > storedChanges

    /** Counts a change that must be stored before the work can go on; its number. */
    fun addUrgentChange(): Long = ++urgentChanges

    /** Something should be stored within a while. */
    fun addDeferredChange(now: Duration) {
        if (deferredChangeSince == null) deferredChangeSince = now
    }

    /** A write is on its way; [includesResults]: it holds all that was to be stored later. */
    fun writeStarted(includesResults: Boolean) {
        isWriteInFlight = true
        if (includesResults) deferredChangeSince = null
    }

    /** The write has ended, whatever its outcome. */
    fun writeEnded() {
        isWriteInFlight = false
    }

    /** Everything up to the change is stored. */
    fun markStored(change: Long) {
        storedChanges = change
    }

    /** For failure messages. */
    override fun toString() =
        "changes=$storedChanges/$urgentChanges later=$deferredChangeSince inFlight=$isWriteInFlight"
}
