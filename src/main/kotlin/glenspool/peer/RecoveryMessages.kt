package glenspool.peer

import kotlinx.serialization.Serializable

/** What an operator may ask a controller about its orders and its recovery. */
@Serializable
enum class RecoveryVerb { STATUS, DIFFERENCES, APPROVE, PAUSE, RESUME }

/** An operator's question or order. [by] names the operator in the log. */
@Serializable
data class RecoveryRequest(val verb: RecoveryVerb, val by: String? = null)

/** The answer to it. [problem]: why an order was not taken, and what would do. [retryAfterSeconds]: when to ask again. */
@Serializable
data class RecoveryReply(
    val accepted: Boolean,
    val problem: String? = null,
    val retryAfterSeconds: Int? = null,
    val status: RecoveryStatus? = null,
    val differences: DifferenceList? = null,
)

/** The orders of the present term and the recovery, as one controller sees them. Spans are in seconds. */
@Serializable
data class RecoveryStatus(
    val node: String,
    val leader: String?,
    /** Whether the controller was started with `--recovery`. */
    val managed: Boolean,
    /** Orders that this node's leader has given in its term, by kind and cause; null if it does not lead. */
    val orders: Map<String, Long>?,
    /** Null if the node does not lead, or recovery is not managed. */
    val recovery: Recovery?,
) {
    @Serializable
    data class Recovery(
        val token: Long,
        val start: String,
        val phase: String,
        val phaseSeconds: Double,
        /** Until the phase ends at the latest; null if it has no end of its own. */
        val leftSeconds: Double?,
        val paused: Boolean,
        val approved: Boolean,
        val expectedMachines: Int,
        val heardMachines: Int,
        /** Groups of machines of which too little was heard. */
        val lacking: List<String>,
        val adoptedTasks: Int,
        val confirmedTasks: Int,
        val settledShare: Double,
        val differences: Map<String, Int>,
        /** Why destructive orders are held; null if they are not. */
        val breaker: String?,
        val ordersPerSecond: Map<String, Long>,
    )
}

/** Differences by name. [total]: how many there are, of which [listed] holds the first. */
@Serializable
data class DifferenceList(val total: Int, val listed: List<Entry>) {
    @Serializable
    data class Entry(val kind: String, val machine: String, val task: String?, val detail: String, val source: String, val ageSeconds: Double)
}
