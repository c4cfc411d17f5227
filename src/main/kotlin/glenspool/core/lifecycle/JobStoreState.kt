package glenspool.core.lifecycle

import kotlin.time.Duration

/** Tracks which changes of a job are stored and which remain to be stored, see [RecordWriteScheduler]. */
class JobStoreState {
    /** The number of changes that must be stored before work can continue; [storedUrgentChanges] of them are stored. */
    var urgentChanges = 0L
        private set
    private var storedUrgentChanges = 0L

    /** Since when there has been a change that may be stored with a delay; null if there is none. */
    var deferredChangeSince: Duration? = null
        private set
    var isWriteInFlight = false
        private set

    /** The time before which no write is attempted, because a change was too large for the key-value store. */
    var notBefore: Duration = Duration.ZERO

    /** Whether a change must be stored before work can continue. */
    val hasUrgentChanges: Boolean get() = urgentChanges > storedUrgentChanges

    /** Adds a change that must be stored before work can continue. Returns its number. */
    fun addUrgentChange(): Long = ++urgentChanges

    /** Adds a change that may be stored with a delay. */
    fun addDeferredChange(now: Duration) {
        if (deferredChangeSince == null) deferredChangeSince = now
    }

    /** A write was started. [includesResults]: whether it includes all deferred changes. */
    fun writeStarted(includesResults: Boolean) {
        isWriteInFlight = true
        if (includesResults) deferredChangeSince = null
    }

    /** The write has ended, whatever its outcome. */
    fun writeEnded() {
        isWriteInFlight = false
    }

    /** Marks all urgent changes up to [change] as stored. */
    fun markStored(change: Long) {
        storedUrgentChanges = change
    }

    /** Used in test failure messages. */
    override fun toString() =
        "changes=$storedUrgentChanges/$urgentChanges later=$deferredChangeSince inFlight=$isWriteInFlight"
}
