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

/** The stored record of the recovery: reads it from the store cache and changes it on behalf of a term. */
internal class RecoveryRecords(private val cache: StoreCache, private val records: RecordStore) {
    /** The version last found unreadable: each is logged once. */
    @Volatile
    private var unreadableVersion: Long? = null

    fun read(): StoredRecovery {
        val item = cache.get(Keys.RECOVERY) ?: return StoredRecovery.Absent
        return try {
            StoredRecovery.Present(RecoveryWire.decode(item.value), item.version)
        } catch (e: MalformedMessage) {
            if (unreadableVersion != item.version) {
                log.error("stored record {} is not readable, recovery begins anew: {}", Keys.RECOVERY, e.message)
            }
            unreadableVersion = item.version
            StoredRecovery.Unreadable(item.version, e.message ?: "malformed")
        }
    }

    /** The stored record; null if there is none, or none that is readable. */
    fun readOrNull(): RecoveryRecord? = (read() as? StoredRecovery.Present)?.record

    /** What an election with [token] stores: a recovery that an earlier term did not finish goes on under this one. */
    fun electionPut(token: Long): Put {
        val unfinished = readOrNull()?.takeIf { it.phase != RecoveryPhase.NORMAL }
        val opened = unfinished?.copy(token = token, phase = RecoveryPhase.READING) ?: begun(token)
        return Put(Keys.RECOVERY, RecoveryWire.encode(opened))
    }

    /** Changes the record under the term's version and its own. False: it was not stored, or perhaps not. */
    @Synchronized
    fun update(term: Term, change: (RecoveryRecord) -> RecoveryRecord): Boolean {
        val before = read()
        val record = (before as? StoredRecovery.Present)?.record ?: begun(term.token)
        val put = Put(Keys.RECOVERY, RecoveryWire.encode(change(record).copy(token = term.token)))
        return records.replaceInTerm(term, put, before.replaceableVersion()) is StoreResult.Ok
    }

    private fun begun(token: Long) = RecoveryRecord(token, RecoveryPhase.READING, wallClock())

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
