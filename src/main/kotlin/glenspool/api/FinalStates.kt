package glenspool.api

import com.google.common.cache.CacheBuilder
import glenspool.core.model.FinalState
import glenspool.state.Keys
import glenspool.state.StoreResult
import glenspool.wire.Fields
import glenspool.wire.FinalWire
import glenspool.wire.StoreWire

/** The final states of jobs. They never change, so what was read once is remembered. */
class FinalStates(private val get: (String) -> StoreResult<StoreWire.Item>) {
    sealed interface Look

    data class Ended(val value: Fields) : Look {
        val end: FinalState get() = FinalWire.end(value)
    }

    data object None : Look

    data object Unreachable : Look

    /** Made when the first user asks: loading the cache's classes would delay the start. */
    private val remembered by lazy { CacheBuilder.newBuilder().maximumSize(MAX_REMEMBERED).build<String, Fields>() }

    fun known(id: String): Fields? = remembered.getIfPresent(id)

    fun read(id: String): Look {
        known(id)?.let { return Ended(it) }
        return when (val r = get(Keys.final(id))) {
            is StoreResult.Ok -> Ended(r.value.value.also { remembered.put(id, it) })
            is StoreResult.Missing -> None
            else -> Unreachable
        }
    }

    private companion object {
        const val MAX_REMEMBERED = 4000L
    }
}
