package glenspool.controller

import glenspool.core.StoreChanges
import glenspool.core.StoreFinalState
import glenspool.core.UpdateJobRecord
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.wire.DoneBitsWire
import glenspool.wire.FinalStateWire
import glenspool.wire.RecordWire

/**
 * A conditional transaction of the key-value store. [conditions] are the versions that keys must have; an absent key
 * has the version 0.
 */
data class Transaction(val conditions: Map<String, Long>, val puts: List<Put>, val removes: List<String>)

/**
 * Converts the core's writes into one transaction that is applied only if the leadership record's version is still
 * [recordVersion] and [extraConditions] hold.
 */
fun transactionOf(
    recordVersion: Long,
    store: StoreChanges,
    extraConditions: Map<String, Long> = emptyMap(),
): Transaction {
    val builder = TransactionBuilder()
    // Because of this condition a deposed leader's writes fail, however late they arrive.
    builder.conditions[Keys.LEADERSHIP] = recordVersion
    builder.conditions.putAll(extraConditions)
    for (write in store.writes) {
        // Because of this condition an older write of this same leader that arrives late can't undo a newer one.
        builder.conditions[Keys.job(write.id)] = write.version
        when (write) {
            is UpdateJobRecord -> builder.add(write)
            is StoreFinalState -> builder.add(write)
        }
    }
    return Transaction(builder.conditions, builder.puts, builder.removes)
}

private class TransactionBuilder {
    val conditions = LinkedHashMap<String, Long>()
    val puts = ArrayList<Put>()
    val removes = ArrayList<String>()

    fun add(update: UpdateJobRecord) {
        if (update.requiresUncancelled) conditions[Keys.cancel(update.id)] = 0
        puts.add(Put(Keys.job(update.id), RecordWire.encode(update.record)))
        for (part in update.parts.keys) addPlacementPart(update, part)
        for (chunk in update.chunks) {
            puts.add(Put(Keys.chunk(update.id, chunk), DoneBitsWire.encode(update.record.done, chunk)))
        }
    }

    private fun addPlacementPart(update: UpdateJobRecord, part: Int) {
        val key = Keys.placementPart(update.id, part)
        val placements = update.record.placementParts[part]
        if (placements == null) removes.add(key) else puts.add(Put(key, RecordWire.encodePlacements(placements)))
    }

    fun add(final: StoreFinalState) {
        // Done and cancelled exclude each other: this condition fails if a cancellation was stored in the meantime, and
        // a cancellation is stored only while there is no final state.
        conditions[Keys.cancel(final.id)] = final.cancelVersion ?: 0
        puts.add(Put(Keys.final(final.id), FinalStateWire.encode(final.finalState, final.tasks, final.abortedBy)))
        removes.add(Keys.job(final.id))
        if (final.cancelVersion != null) removes.add(Keys.cancel(final.id))
    }
}
