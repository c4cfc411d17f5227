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

/** The rollout's records as this node's replica has them. [loaded]: whether the replica has ever been read. */
class RolloutRecords(private val keys: LiveKeyReader, private val loaded: () -> Boolean) {
    /** Versions that were found unreadable: each is logged once. */
    private val reported = ConcurrentHashMap<String, Long>()

    /** The last record that was read of each key, so that a question costs a look-up and no decoding. */
    private val decoded = ConcurrentHashMap<String, Stored<*>>()

    fun level(): Stored<LevelRecord> = read(Keys.LEVEL, RolloutWire::level)

    fun orders(): Stored<OperatorOrders> = read(Keys.ROLLOUT_ORDERS, RolloutWire::orders)

    fun state(): Stored<RolloutState> = read(Keys.ROLLOUT_STATE, RolloutWire::state)

    /**
     * How many records are stored in a form of the level `sealed-records`: split ones, ones that wait, and what belongs
     * to them.
     */
    fun sealedRecords(): Int =
        keys.atomically {
            keys.withPrefix(Keys.JOB).count { RecordWire.isSealed(it.value) } + keys.withPrefix(Keys.DESCRIPTION_PART).size +
                keys.withPrefix(Keys.PLACEMENT_PART).size
        }

    @Suppress("UNCHECKED_CAST")
    private fun <T> read(key: String, decode: (Fields) -> T): Stored<T> {
        val item = keys.get(key) ?: return if (loaded()) Stored.Absent else Stored.NotRead
        val last = decoded[key]
        if (last is Stored.Present &&
            last.version == item.version ||
            last is Stored.Unreadable &&
            last.version == item.version
        ) {
            return last as Stored<T>
        }
        val fresh =
            try {
                Stored.Present(decode(item.value), item.version)
            } catch (e: MalformedMessage) {
                if (reported.put(key, item.version) !=
                    item.version
                ) {
                    log.error("stored record {} is not readable: {}", key, e.message)
                }
                Stored.Unreadable(item.version, e.message ?: "malformed")
            }
        decoded[key] = fresh
        return fresh
    }

    private companion object {
        val log = loggerOf(RolloutRecords::class.java)
    }
}

/** What a write under this permit is conditioned on besides its own keys. */
fun WritePermit.conditions(): Map<String, Long> = levelVersion?.let { mapOf(Keys.LEVEL to it) } ?: emptyMap()
