package glenspool.controller

import glenspool.core.StoreChanges
import glenspool.core.StoreFinalState
import glenspool.core.UpdateJobRecord
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.wire.FinalWire
import glenspool.wire.RecordWire

/** A transaction in the state service's terms. */
data class Transaction(val conditions: Map<String, Long>, val puts: List<Put>, val removes: List<String>)

/**
 * Turns the core's writes into one transaction that holds only under the leadership record's version [recordVersion]
 * and under [guards].
 */
fun transactionOf(recordVersion: Long, store: StoreChanges, guards: Map<String, Long> = emptyMap()): Transaction {
    val conditions = LinkedHashMap<String, Long>()
    // A deposed leader's writes fail on this however late they arrive.
    conditions[Keys.LEAD] = recordVersion
    conditions.putAll(guards)
    val puts = ArrayList<Put>()
    val removes = ArrayList<String>()
    for (w in store.writes) {
        // Nor may an older write of this same leader, arriving late, undo a newer one.
        conditions[Keys.job(w.id)] = w.version
        when (w) {
            is UpdateJobRecord -> {
                if (w.requiresUncancelled) conditions[Keys.cancel(w.id)] = 0
                puts.add(Put(Keys.job(w.id), RecordWire.encode(w.record)))
                for (n in w.parts.keys) {
                    val places = w.record.placementParts[n]
                    if (places ==
                        null
                    ) {
                        removes.add(Keys.placementPart(w.id, n))
                    } else {
                        puts.add(Put(Keys.placementPart(w.id, n), RecordWire.encodePlaces(places)))
                    }
                }
                for (c in w.chunks) {
                    val from = c * RecordWire.CHUNK_TASKS
                    puts.add(
                        Put(
                            Keys.chunk(w.id, c),
                            mapOf(
                                "done" to RecordWire.encodeBits(w.record.done.get(from, from + RecordWire.CHUNK_TASKS)),
                            ),
                        ),
                    )
                }
            }
            is StoreFinalState -> {
                // Done and cancelled exclude each other: a cancellation is stored only while no final state is.
                conditions[Keys.cancel(w.id)] = w.cancelVersion ?: 0
                puts.add(Put(Keys.final(w.id), FinalWire.encode(w.finalState, w.tasks, w.abortedBy)))
                removes.add(Keys.job(w.id))
                if (w.cancelVersion != null) removes.add(Keys.cancel(w.id))
            }
        }
    }
    return Transaction(conditions, puts, removes)
}
