package glenspool.reconcile

import kotlin.time.Duration

/**
 * Which leaders' terms a controller's process has lived through. A process that was alive while somebody led proves
 * that not all controllers were down since; process identities and steady time show that, no comparison of wall clocks
 * could.
 *
 * A leadership record that is there when the process first reads the state may be a remainder: its lease outlives the
 * leader by a moment. It counts only once the record has stayed for [remainder] while the state service was read
 * without a gap, since nobody but a living leader renews the lease, and an outage gives every lease its full time
 * again.
 */
class ContinuityWitness(private val remainder: Duration) {
    private var isFirstLook = true

    /** A record that may be a remainder, and since when it was read without a gap. */
    private var doubtful: Long? = null
    private var readSince = Duration.ZERO

    /** The token of the first term that this process has lived through; null: none yet. */
    var firstToken: Long? = null
        private set

    /** The state was read at [at]; [leader] is the token of the leadership record, null if there is none. */
    fun stateRead(leader: Long?, at: Duration) {
        if (firstToken != null) return
        val first = isFirstLook
        isFirstLook = false
        when {
            leader == null -> doubtful = null
            first -> doubt(leader, at)
            // It appeared while this process was reading: whoever was elected is alive, or was a moment ago.
            leader != doubtful -> firstToken = leader
            at - readSince >= remainder -> firstToken = leader
        }
    }

    /** The state service could not be read for a while: what was there before may be a remainder now. */
    fun readingInterrupted(at: Duration) {
        readSince = at
    }

    private fun doubt(leader: Long, at: Duration) {
        doubtful = leader
        readSince = at
    }
}

/** How a term began. */
enum class StartKind {
    /** No controller ever led before. */
    FIRST,

    /** Some living process has lived through an earlier term: an ordinary take-over. */
    TAKE_OVER,

    /** Every controller answered, and none of them has. */
    COLD,

    /** A cold start's recovery was not over when its leader ended. */
    CONTINUED,

    /** Some controller can't be asked. Treated as a cold start, which is the more careful way. */
    UNKNOWN,
}

/**
 * What a controller said of itself: the first term that its process lived through; [answered] is false if it can't be
 * asked.
 */
data class MemberWitness(val answered: Boolean, val firstToken: Long?)

/** Judges how a term began. Nothing is guessed: without proof either way it stays [StartKind.UNKNOWN]. */
object StartJudgement {
    /**
     * [own]: the first term that this process lived through. [members]: what all other controllers said. [token]: of
     * the new term. [recovery]: the stored record of the last recovery.
     */
    fun judge(token: Long, own: Long?, members: List<MemberWitness>, recovery: StoredRecovery): StartKind {
        if (recovery.isOpen(token)) return StartKind.CONTINUED
        if (token == FIRST_TOKEN) return StartKind.FIRST
        val livedThrough = (members.map { it.firstToken } + own).any { it != null && it < token }
        return when {
            livedThrough -> StartKind.TAKE_OVER
            members.all { it.answered } -> StartKind.COLD
            else -> StartKind.UNKNOWN
        }
    }

    private const val FIRST_TOKEN = 1L
}
