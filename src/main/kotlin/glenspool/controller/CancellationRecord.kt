package glenspool.controller

import glenspool.core.cluster.Cancellation
import glenspool.state.Keys
import glenspool.wire.CancellationWire
import glenspool.wire.StoreWire

/**
 * The cancellation that the change stores; null if it stores none. Throws `MalformedMessage` for a record that can't be
 * decoded.
 */
internal fun StoreWire.Change.cancellation(): Cancellation? {
    val record = value ?: return null
    if (!key.startsWith(Keys.CANCEL)) return null
    return CancellationWire.decode(key.removePrefix(Keys.CANCEL), record, version)
}
