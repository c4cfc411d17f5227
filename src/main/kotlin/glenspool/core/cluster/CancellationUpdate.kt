package glenspool.core.cluster

import kotlin.time.Duration

/** A stored cancellation. [at]: when it was stored, by the time of day; [version]: of its key. */
data class Cancellation(val job: String, val at: Duration, val version: Long)

/**
 * Which of a process's cancellations another one has: those up to [upTo] in the order in which process [boot] learnt
 * them.
 */
data class Acknowledgement(val boot: String, val upTo: Long)

/** What one controller sends another. All spans count back from the moment at which it was made. */
data class CancellationUpdate(
    /** The sending process; a controller that is back is another one. */
    val boot: String,
    val uptime: Duration,
    /** Those that the sender learnt after [base], up to [upTo]. */
    val entries: List<Cancellation>,
    val base: Long,
    val upTo: Long,
    /** Whether the sender knows no more than that. */
    val whole: Boolean,
    /** How long ago the moment is up to which the sender knows all confirmed cancellations; null: it can't say. */
    val completeAge: Duration?,
    /** How long ago the sender sent the last message that the receiver has answered. */
    val contactAge: Duration,
    /** What the sender has of the receiver's. */
    val acknowledgement: Acknowledgement?,
)

/** The answer to another controller's update, and what this one has learnt from it. */
data class CancellationReply(val update: CancellationUpdate, val learnt: List<Cancellation>)
