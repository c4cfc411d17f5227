package glenspool.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The operators' queries and commands for a controller's orders and its recovery. */
@Serializable
enum class RecoveryVerb {
    @SerialName("STATUS")
    STATUS,

    @SerialName("DIFFERENCES")
    DIFFERENCES,

    @SerialName("APPROVE")
    APPROVE,

    @SerialName("PAUSE")
    PAUSE,

    @SerialName("RESUME")
    RESUME,
}

/**
 * An operator's query or command.
 *
 * @property by the operator's name in log lines
 */
@Serializable
data class RecoveryRequest(
    @SerialName("verb") val verb: RecoveryVerb,
    @SerialName("by") val by: String? = null,
)

/**
 * The reply to a [RecoveryRequest].
 *
 * @property problem why a command was not accepted, and what would help
 * @property retryAfterSeconds the time after which to repeat the request
 */
@Serializable
data class RecoveryReply(
    @SerialName("accepted") val accepted: Boolean,
    @SerialName("problem") val problem: String? = null,
    @SerialName("retryAfterSeconds") val retryAfterSeconds: Int? = null,
    @SerialName("status") val status: RecoveryStatus? = null,
    @SerialName("differences") val differences: DifferenceList? = null,
)

/** The orders of the present term and the recovery, as one controller sees them. Durations are in seconds. */
@Serializable
data class RecoveryStatus(
    @SerialName("node") val node: String,
    @SerialName("leader") val leader: String?,
    /** Whether the controller was started with `--recovery`. */
    @SerialName("managed") val managed: Boolean,
    /** Number of orders that this node has given in its term as leader, by kind and cause; null if it does not lead. */
    @SerialName("orders") val orders: Map<String, Long>?,
    /** Null if the node does not lead, or recovery is not managed. */
    @SerialName("recovery") val recovery: Recovery?,
) {
    /** The recovery of the present term. */
    @Serializable
    data class Recovery(
        @SerialName("token") val token: Long,
        @SerialName("start") val start: String,
        @SerialName("phase") val phase: String,
        @SerialName("phaseSeconds") val phaseSeconds: Double,
        /** The time until the phase ends at the latest; null if it has no time limit. */
        @SerialName("leftSeconds") val leftSeconds: Double?,
        @SerialName("paused") val paused: Boolean,
        @SerialName("approved") val approved: Boolean,
        @SerialName("expectedMachines") val expectedMachines: Int,
        @SerialName("heardMachines") val heardMachines: Int,
        /** Groups of machines of which too few have sent a heartbeat. */
        @SerialName("lacking") val lacking: List<String>,
        @SerialName("adoptedTasks") val adoptedTasks: Int,
        @SerialName("confirmedTasks") val confirmedTasks: Int,
        @SerialName("settledShare") val settledShare: Double,
        @SerialName("differences") val differences: Map<String, Int>,
        /** Why destructive orders are held; null if they are not. */
        @SerialName("breaker") val breaker: String?,
        @SerialName("ordersPerSecond") val ordersPerSecond: Map<String, Long>,
    )
}

/** Single differences between stored and reported state. [listed] holds the first of [total] differences. */
@Serializable
data class DifferenceList(
    @SerialName("total") val total: Int,
    @SerialName("listed") val listed: List<Entry>,
) {
    /** One difference; its age is in seconds. */
    @Serializable
    data class Entry(
        @SerialName("kind") val kind: String,
        @SerialName("machine") val machine: String,
        @SerialName("task") val task: String?,
        @SerialName("detail") val detail: String,
        @SerialName("source") val source: String,
        @SerialName("ageSeconds") val ageSeconds: Double,
    )
}
