package glenspool.controller

import glenspool.core.cluster.Cancellation
import glenspool.state.Keys
import glenspool.wire.StoreWire
import glenspool.wire.count
import kotlin.time.Duration.Companion.milliseconds

/**
 * The cancellation that the change stores; null if it stores none. A record that is not readable is a
 * `MalformedMessage`.
 */
internal fun StoreWire.Change.cancellation(): Cancellation? {
    val record = value ?: return null
    if (!key.startsWith(Keys.CANCEL)) return null
    return Cancellation(key.removePrefix(Keys.CANCEL), record.count("at").milliseconds, version)
}
