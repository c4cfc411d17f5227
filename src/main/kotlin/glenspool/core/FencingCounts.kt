package glenspool.core

/** Why the fencing token is advanced within a term. */
enum class TokenAdvanceCause {
    /** A start command has been unanswered for too long. */
    UNANSWERED_START,

    /** A task that was started is not shown by its machine, and a copy of its start may still be executed. */
    MISSING_TASK,

    /** Workers keep exited attempts, of which copies of the starts may still arrive. */
    EXITED_ATTEMPTS,

    /** A worker began anew and has forgotten the token, see [glenspool.core.cluster.RestartedWorkers]. */
    RESTARTED_WORKER,

    /** As [EXITED_ATTEMPTS], and a worker's heartbeat becomes long. */
    LONG_REPORT,
    ;

    /** The name that operators see. */
    val label: String get() = name.lowercase().replace('_', '-')
}

/** Counts what start fencing did in a term. Confined to the core thread. */
class FencingCounts {
    private val advances = LinkedHashMap<TokenAdvanceCause, Long>()

    /** How often the permission to forget an exited attempt was withheld; an attempt counts once per heartbeat. */
    var forgetsWithheld = 0L
        private set

    /** How often a task was shown by two machines at the same time. */
    var tasksOnTwoMachines = 0L
        private set

    /** How often a heartbeat was received that was not newer than those known. */
    var outdatedHeartbeats = 0L
        private set

    /** How many workers were found to have begun anew within their incarnation. */
    var restartedWorkers = 0L
        private set

    /** Counts a heartbeat that is not newer than those known. */
    fun outdatedHeartbeat() {
        outdatedHeartbeats++
    }

    /** Counts a worker that began anew. */
    fun workerRestarted() {
        restartedWorkers++
    }

    /** Counts a withheld permission to forget. */
    fun forgetWithheld() {
        forgetsWithheld++
    }

    /** Counts a task that two machines show. */
    fun taskOnTwoMachines() {
        tasksOnTwoMachines++
    }

    /** Counts an advance of the token. */
    fun tokenAdvanced(cause: TokenAdvanceCause) {
        advances.merge(cause, 1L, Long::plus)
    }

    /** The counts as text for one log line. */
    override fun toString(): String {
        val advanced = advances.entries.joinToString("") { (cause, count) -> " advances.${cause.label}=$count" }
        return "forgets-withheld=$forgetsWithheld tasks-on-two-machines=$tasksOnTwoMachines " +
            "outdated-heartbeats=$outdatedHeartbeats restarted-workers=$restartedWorkers$advanced"
    }
}
