package glenspool.reconcile

/** How a leader's term began. */
enum class StartKind {
    /** No controller has led before. */
    FIRST,

    /** A running controller process was already running during an earlier term, so this is an ordinary failover. */
    TAKE_OVER,

    /** Every controller answered, and none was running during an earlier term, so all controllers were down. */
    COLD,

    /** The recovery of an earlier cold start was not finished when its leader ended. */
    CONTINUED,

    /** Evidence is missing because a controller can't be asked. Handled like a cold start, the safer choice. */
    UNKNOWN,
    ;

    /** Whether nothing has to be recovered, because not all controllers were down or none has led before. */
    val isOrdinary: Boolean get() = this == TAKE_OVER || this == FIRST
}

/**
 * The continuity evidence that another controller reports about its own process.
 *
 * @property answered false if the controller could not be asked
 * @property firstToken the fencing token of the first term during which its process was running; null if there is none
 */
data class MemberContinuityEvidence(val answered: Boolean, val firstToken: Long?)

/** Classifies how a term began. Without evidence either way the result is [StartKind.UNKNOWN]. */
object StartClassifier {
    private const val FIRST_TOKEN = 1L

    /**
     * @param token the fencing token of the new term
     * @param ownFirstToken the token of the first term during which this process was running; null if there is none
     * @param members the evidence of all other controllers
     * @param recovery the stored record of the last recovery
     */
    fun classify(
        token: Long,
        ownFirstToken: Long?,
        members: List<MemberContinuityEvidence>,
        recovery: StoredRecovery,
    ): StartKind {
        if (recovery.isUnfinished(token)) return StartKind.CONTINUED
        if (token == FIRST_TOKEN) return StartKind.FIRST
        val firstTokens = members.map { it.firstToken } + ownFirstToken
        return when {
            firstTokens.any { it != null && it < token } -> StartKind.TAKE_OVER
            members.all { it.answered } -> StartKind.COLD
            else -> StartKind.UNKNOWN
        }
    }
}
