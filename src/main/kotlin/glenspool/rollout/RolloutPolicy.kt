package glenspool.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Who decides that a level becomes active. */
enum class ActivationMode {
    /** The leader, as soon as the evidence is complete. */
    AUTOMATIC,

    /** An operator, and then the evidence has to be complete as well. */
    MANUAL,

    /** Nobody. */
    HOLD,
}

/** What a process does whose build can't read the active level. */
enum class FencedReaction { UNREADY, EXIT }

/** How much worse the service may be after a step of an upgrade than before it. */
data class HealthLimits(
    /** The time before a step that is compared with the time after it. */
    val window: Duration = 10.minutes,
    /** Events of one kind that are always tolerated after a step. */
    val tolerated: Long = 20,
    /** How many times the earlier rate is tolerated beyond that. */
    val factor: Double = 3.0,
)

/** The settings of the rollout, as its file gives them. */
data class RolloutPolicy(
    val mode: ActivationMode = ActivationMode.AUTOMATIC,
    val fenced: FencedReaction = FencedReaction.UNREADY,
    /** How long each member's process must have been ready without interruption. */
    val settle: Duration = 20.seconds,
    /** What was heard of a member longer ago than this proves nothing. */
    val evidenceAge: Duration = 10.seconds,
    /**
     * After this time a member that holds the rollout back is reported to the operators, and again each time it has
     * passed.
     */
    val leftBehindAfter: Duration = 10.minutes,
    val health: HealthLimits = HealthLimits(),
)
