package glenspool.core.cluster

import kotlin.time.Duration

/**
 * A stored cancellation. [at] is the wall-clock time at which it was stored, [version] the version of its key in the
 * key-value store.
 */
data class Cancellation(val job: String, val at: Duration, val version: Long)

/**
 * Acknowledges the cancellations of the process with boot ID [boot] up to number [upTo], in the order in which that
 * process learned of them.
 */
data class Acknowledgement(val boot: String, val upTo: Long)

/**
 * The message in which a controller sends its cancellations to another one. All ages are relative to the moment at
 * which the message was created.
 */
data class CancellationUpdate(
    /** Boot ID of the sending process; a restarted controller has another one. */
    val boot: String,
    val uptime: Duration,
    /** The cancellations that the sender learned of after number [base], up to number [upTo]. */
    val entries: List<Cancellation>,
    val base: Long,
    val upTo: Long,
    /** Whether the sender knows no cancellation after number [upTo]. */
    val isComplete: Boolean,
    /** Age of the moment up to which the sender knows all confirmed cancellations; null if there is no such moment. */
    val completeAge: Duration?,
    /** Age of the last message of the sender that the receiver has answered. */
    val contactAge: Duration,
    /** Which of the receiver's cancellations the sender has. */
    val acknowledgement: Acknowledgement?,
)

/** The reply to another controller's update, and the cancellations that this controller learned from the update. */
data class CancellationReply(val update: CancellationUpdate, val learned: List<Cancellation>)
