package glenspool.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The operators' queries and commands for the rollout. */
@Serializable
enum class RolloutVerb {
    @SerialName("STATUS")
    STATUS,

    @SerialName("HOLD")
    HOLD,

    @SerialName("RESUME")
    RESUME,

    @SerialName("ACTIVATE")
    ACTIVATE,

    @SerialName("DEACTIVATE")
    DEACTIVATE,

    @SerialName("EXCLUDE")
    EXCLUDE,

    @SerialName("INCLUDE")
    INCLUDE,
}

/**
 * An operator's query or command.
 *
 * @property by the operator's name in stored records
 */
@Serializable
data class RolloutRequest(
    @SerialName("verb") val verb: RolloutVerb,
    @SerialName("level") val level: Int? = null,
    @SerialName("member") val member: String? = null,
    @SerialName("by") val by: String? = null,
)

/**
 * The reply to a [RolloutRequest].
 *
 * @property problem why a command was not accepted, and what would help
 * @property retryAfterSeconds the time after which to repeat the request
 */
@Serializable
data class RolloutReply(
    @SerialName("accepted") val accepted: Boolean,
    @SerialName("problem") val problem: String? = null,
    @SerialName("retryAfterSeconds") val retryAfterSeconds: Int? = null,
    @SerialName("status") val status: RolloutStatus? = null,
)

/** The rollout as one controller sees it. Times are in milliseconds since the epoch, durations in seconds. */
@Serializable
data class RolloutStatus(
    @SerialName("node") val node: String,
    @SerialName("leader") val leader: String?,
    @SerialName("build") val build: String,
    @SerialName("lowest") val lowest: Int,
    @SerialName("highest") val highest: Int,
    /** The active level; null if no level is stored or it can't be read, see [levelProblem]. */
    @SerialName("level") val level: Int?,
    @SerialName("levelName") val levelName: String?,
    @SerialName("stage") val stage: String?,
    @SerialName("levelChangedAt") val levelChangedAt: Long?,
    @SerialName("levelProblem") val levelProblem: String?,
    @SerialName("fence") val fence: String?,
    @SerialName("target") val target: Int,
    @SerialName("mode") val mode: String,
    @SerialName("approvedLevel") val approvedLevel: Int?,
    @SerialName("lowerTo") val lowerTo: Int?,
    @SerialName("excluded") val excluded: List<String>,
    @SerialName("hold") val hold: String?,
    @SerialName("holdMember") val holdMember: String?,
    @SerialName("holdDetail") val holdDetail: String?,
    @SerialName("heldSince") val heldSince: Long?,
    @SerialName("members") val members: List<Member>,
    @SerialName("health") val health: List<String>,
    @SerialName("plan") val plan: List<String>,
    /** The number of records that are still stored in a form of the active level. */
    @SerialName("recordsInLevel") val recordsInLevel: Int,
) {
    /** Another controller as observed by this one. */
    @Serializable
    data class Member(
        @SerialName("member") val member: String,
        @SerialName("build") val build: String?,
        @SerialName("highest") val highest: Int?,
        @SerialName("reachable") val reachable: Boolean,
        @SerialName("readySeconds") val readySeconds: Long,
        @SerialName("unchangedSeconds") val unchangedSeconds: Long,
        @SerialName("restarts") val restarts: Int,
    )
}
