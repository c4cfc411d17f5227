package glenspool.controller

import glenspool.core.cluster.Acknowledgement
import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.CancellationUpdate
import glenspool.peer.CancellationMessage
import kotlin.time.Duration.Companion.milliseconds

/** Converts between the messages that controllers exchange about cancellations and the core's types. */
internal object CancellationMessages {
    /** Encodes an update that the controller [node] sends. */
    fun encode(node: String, update: CancellationUpdate) =
        CancellationMessage(
            node = node,
            boot = update.boot,
            uptime = update.uptime.inWholeMilliseconds,
            entries = update.entries.map(::entry),
            base = update.base,
            upTo = update.upTo,
            isComplete = update.isComplete,
            // Ages are rounded up, which is the safe side.
            completeAge = update.completeAge?.let { it.inWholeMilliseconds + 1 },
            contactAge = update.contactAge.inWholeMilliseconds + 1,
            acknowledgedBoot = update.acknowledgement?.boot,
            acknowledgedUpTo = update.acknowledgement?.upTo ?: 0,
        )

    private fun entry(cancellation: Cancellation) =
        CancellationMessage.Entry(
            job = cancellation.job,
            at = cancellation.at.inWholeMilliseconds,
            version = cancellation.version,
        )

    fun decode(message: CancellationMessage) =
        CancellationUpdate(
            boot = message.boot,
            uptime = message.uptime.milliseconds,
            entries = message.entries.map { Cancellation(it.job, it.at.milliseconds, it.version) },
            base = message.base,
            upTo = message.upTo,
            isComplete = message.isComplete,
            completeAge = message.completeAge?.milliseconds,
            contactAge = message.contactAge.milliseconds,
            acknowledgement = message.acknowledgedBoot?.let { Acknowledgement(it, message.acknowledgedUpTo) },
        )
}
