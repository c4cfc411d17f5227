package glenspool.reconcile

/** How a leader's term began. */
enum class StartKind {
    /** No controller has ever led before. */
    FIRST,

    /** Some living process has lived through an earlier term: an ordinary failover. */
    TAKE_OVER,

    /** Every controller answered, and none has lived through an earlier term: all controllers were down. */
    COLD,

    /** The recovery of an earlier cold start was not finished when its leader ended. */
    CONTINUED,

    /** Some controller can't be asked. Handled like a cold start, which is the safer choice. */
    UNKNOWN,
    ;

    /** Whether the term began without all controllers having been down, so that nothing has to be recovered. */
    val isOrdinary: Boolean get() = this == TAKE_OVER || this == FIRST
}

/**
 * A controller's own statement about its continuity.
 *
 * @property answered false if the controller could not be asked
 * @property firstToken the fencing token of the first term that its process lived through; null if there is none
 */
data class MemberContinuityEvidence(val answered: Boolean, val firstToken: Long?)

/** Classifies how a term began. Without proof either way the result stays [StartKind.UNKNOWN]. */
object StartClassifier {
    private const val FIRST_TOKEN = 1L

    /**
     * @param token the fencing token of the new term
     * @param ownFirstToken the first term that this process lived through; null if there is none
     * @param members the statements of all other controllers
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
