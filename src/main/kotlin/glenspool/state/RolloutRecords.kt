package glenspool.state

import glenspool.logging.loggerOf
import glenspool.rollout.LevelRecord
import glenspool.rollout.OperatorOrders
import glenspool.rollout.RolloutState
import glenspool.rollout.Stored
import glenspool.rollout.WritePermit
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import glenspool.wire.RecordWire
import glenspool.wire.RolloutWire
import java.util.concurrent.ConcurrentHashMap

/**
 * The rollout's records as this node's store cache has them.
 *
 * @param isLoaded whether the cache has been loaded from the store at least once
 */
class RolloutRecords(private val keys: LiveKeyReader, private val isLoaded: () -> Boolean) {
    /** The last version of each record that could not be decoded, so that each such version is logged once. */
    private val reportedVersions = ConcurrentHashMap<String, Long>()

    /** The last record read from each key, so that a repeated read costs a look-up and no decoding. */
    private val decoded = ConcurrentHashMap<String, Stored<*>>()

    /** The record of the active level. */
    fun level(): Stored<LevelRecord> = read(Keys.LEVEL, RolloutWire::decodeLevel)

    /** The operators' orders. */
    fun orders(): Stored<OperatorOrders> = read(Keys.ROLLOUT_ORDERS, RolloutWire::decodeOrders)

    /** The progress of the rollout as the leader has stored it. */
    fun state(): Stored<RolloutState> = read(Keys.ROLLOUT_STATE, RolloutWire::decodeState)

    /** The number of keys in a form of the level `sealed-records`, which are sealed job records and their parts. */
    fun countSealedRecordKeys(): Int =
        keys.atomically {
            val sealed = keys.withPrefix(Keys.JOB).count { RecordWire.isSealed(it.value) }
            sealed + keys.withPrefix(Keys.DESCRIPTION_PART).size + keys.withPrefix(Keys.PLACEMENT_PART).size
        }

    @Suppress("UNCHECKED_CAST")
    private fun <T> read(key: String, decode: (Fields) -> T): Stored<T> {
        val item = keys.get(key) ?: return if (isLoaded()) Stored.Absent else Stored.NotRead
        val cached = decoded[key]
        if (cached != null && cached.isOfVersion(item.version)) return cached as Stored<T>
        val stored =
            try {
                Stored.Present(decode(item.value), item.version)
            } catch (e: MalformedMessage) {
                reportOnce(key, item.version, e)
                Stored.Unreadable(item.version, e.message ?: "malformed")
            }
        decoded[key] = stored
        return stored
    }

    private fun Stored<*>.isOfVersion(version: Long): Boolean =
        when (this) {
            is Stored.Present -> this.version == version
            is Stored.Unreadable -> this.version == version
            Stored.Absent, Stored.NotRead -> false
        }

    private fun reportOnce(key: String, version: Long, error: MalformedMessage) {
        if (reportedVersions.put(key, version) == version) return
        log.error("stored record {} could not be decoded and is not overwritten: {}", key, error.message)
    }

    private companion object {
        val log = loggerOf(RolloutRecords::class.java)
    }
}

/** The conditions that a write under this permit needs in addition to those on its own keys. */
fun WritePermit.conditions(): Map<String, Long> = levelVersion?.let { mapOf(Keys.LEVEL to it) } ?: emptyMap()
