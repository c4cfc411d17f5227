package glenspool.peer

import kotlinx.serialization.Serializable

/** What an operator may ask a controller about the rollout. */
@Serializable
enum class RolloutVerb { STATUS, HOLD, RESUME, ACTIVATE, DEACTIVATE, EXCLUDE, INCLUDE }

/** An operator's question or order. [by] names the operator in what is recorded. */
@Serializable
data class RolloutRequest(val verb: RolloutVerb, val level: Int? = null, val member: String? = null, val by: String? = null)

/** The answer to it. [problem]: why an order was not taken, and what would do. [retryAfterSeconds]: when to ask again. */
@Serializable
data class RolloutReply(
    val accepted: Boolean,
    val problem: String? = null,
    val retryAfterSeconds: Int? = null,
    val status: RolloutStatus? = null,
)

/** The rollout as one controller sees it. Times are in milliseconds since the epoch, spans in seconds. */
@Serializable
data class RolloutStatus(
    val node: String,
    val leader: String?,
    val build: String,
    val lowest: Int,
    val highest: Int,
    /** Null: it is absent or can't be read, see [levelProblem]. */
    val level: Int?,
    val levelName: String?,
    val stage: String?,
    val levelChangedAt: Long?,
    val levelProblem: String?,
    val fence: String?,
    val target: Int,
    val mode: String,
    val approvedLevel: Int?,
    val lowerTo: Int?,
    val excluded: List<String>,
    val hold: String?,
    val holdMember: String?,
    val holdDetail: String?,
    val heldSince: Long?,
    val members: List<Member>,
    val health: List<String>,
    val plan: List<String>,
    /** Records still stored in a form of the active level. */
    val recordsInLevel: Int,
) {
    @Serializable
    data class Member(
        val member: String,
        val build: String?,
        val highest: Int?,
        val reachable: Boolean,
        val readySeconds: Long,
        val unchangedSeconds: Long,
        val restarts: Int,
    )
}
