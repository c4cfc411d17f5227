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

/** The rollout's records as this node's cache has them. [isLoaded]: whether the cache has ever been read. */
class RolloutRecords(private val keys: LiveKeyReader, private val isLoaded: () -> Boolean) {
    /** The versions of records that were found unreadable: each is logged once. */
    private val reportedVersions = ConcurrentHashMap<String, Long>()

    /** The last record that was read of each key, so that a repeated read costs a look-up and no decoding. */
    private val decoded = ConcurrentHashMap<String, Stored<*>>()

    /** The active level. */
    fun level(): Stored<LevelRecord> = read(Keys.LEVEL, RolloutWire::decodeLevel)

    /** What operators have ordered. */
    fun orders(): Stored<OperatorOrders> = read(Keys.ROLLOUT_ORDERS, RolloutWire::decodeOrders)

    /** The progress that the leader has recorded. */
    fun state(): Stored<RolloutState> = read(Keys.ROLLOUT_STATE, RolloutWire::decodeState)

    /** How many keys hold a form of the level `sealed-records`: sealed job records and the parts of such. */
    fun countSealedRecordKeys(): Int =
        keys.atomically {
            val sealed = keys.withPrefix(Keys.JOB).count { RecordWire.isSealed(it.value) }
            sealed + keys.withPrefix(Keys.DESCRIPTION_PART).size + keys.withPrefix(Keys.PLACEMENT_PART).size
        }

    @Suppress("UNCHECKED_CAST")
    private fun <T> read(key: String, decode: (Fields) -> T): Stored<T> {
        val item = keys.get(key) ?: return if (isLoaded()) Stored.Absent else Stored.NotRead
        val last = decoded[key]
        if (last != null && last.isOfVersion(item.version)) return last as Stored<T>
        val fresh =
            try {
                Stored.Present(decode(item.value), item.version)
            } catch (e: MalformedMessage) {
                reportOnce(key, item.version, e)
                Stored.Unreadable(item.version, e.message ?: "malformed")
            }
        decoded[key] = fresh
        return fresh
    }

    private fun Stored<*>.isOfVersion(version: Long): Boolean =
        when (this) {
            is Stored.Present -> this.version == version
            is Stored.Unreadable -> this.version == version
            Stored.Absent, Stored.NotRead -> false
        }

    private fun reportOnce(key: String, version: Long, error: MalformedMessage) {
        if (reportedVersions.put(key, version) == version) return
        log.error("stored record {} is not readable: {}", key, error.message)
    }

    private companion object {
        val log = loggerOf(RolloutRecords::class.java)
    }
}

/** What a write under this permit is conditioned on besides its own keys. */
fun WritePermit.conditions(): Map<String, Long> = levelVersion?.let { mapOf(Keys.LEVEL to it) } ?: emptyMap()
