package glenspool.controller

import glenspool.logging.loggerOf
import glenspool.reconcile.RecoveryPhase
import glenspool.reconcile.RecoveryRecord
import glenspool.reconcile.StoredRecovery
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreCache
import glenspool.state.StoreResult
import glenspool.state.wallClock
import glenspool.wire.MalformedMessage
import glenspool.wire.RecoveryWire

/** Reads the stored record of the recovery from the store cache, and changes it on behalf of a term. */
internal class RecoveryRecords(private val cache: StoreCache, private val records: RecordStore) {
    /** The last version of the record that could not be decoded, so that each such version is logged once. */
    @Volatile
    private var unreadableVersion: Long? = null

    fun read(): StoredRecovery {
        val item = cache.get(Keys.RECOVERY) ?: return StoredRecovery.Absent
        return try {
            StoredRecovery.Present(RecoveryWire.decode(item.value), item.version)
        } catch (e: MalformedMessage) {
            if (unreadableVersion != item.version) {
                log.error("stored record {} could not be decoded, recovery starts over: {}", Keys.RECOVERY, e.message)
            }
            unreadableVersion = item.version
            StoredRecovery.Unreadable(item.version, e.message ?: "malformed")
        }
    }

    /** Returns the stored record; null if there is none, or if it can't be decoded. */
    fun readOrNull(): RecoveryRecord? = (read() as? StoredRecovery.Present)?.record

    /**
     * Returns the record that an election with [token] stores. A recovery that an earlier term did not finish is
     * continued in the new term.
     */
    fun electionPut(token: Long): Put {
        val unfinished = readOrNull()?.takeIf { it.phase != RecoveryPhase.NORMAL }
        val opened = unfinished?.copy(token = token, phase = RecoveryPhase.READING) ?: newRecord(token)
        return Put(Keys.RECOVERY, RecoveryWire.encode(opened))
    }

    /**
     * Changes the record on condition that the term's leadership record and the record itself still have the expected
     * versions. Returns false if the change was not stored, or possibly not.
     */
    @Synchronized
    fun update(term: Term, change: (RecoveryRecord) -> RecoveryRecord): Boolean {
        val stored = read()
        val record = (stored as? StoredRecovery.Present)?.record ?: newRecord(term.token)
        val put = Put(Keys.RECOVERY, RecoveryWire.encode(change(record).copy(token = term.token)))
        return records.replaceInTerm(term, put, stored.replaceableVersion()) is StoreResult.Ok
    }

    private fun newRecord(token: Long) = RecoveryRecord(token, RecoveryPhase.READING, wallClock())

    private fun StoredRecovery.replaceableVersion(): Long =
        when (this) {
            is StoredRecovery.Absent -> 0L
            is StoredRecovery.Present -> version
            is StoredRecovery.Unreadable -> version
        }

    private companion object {
        val log = loggerOf(RecoveryRecords::class.java)
    }
}
