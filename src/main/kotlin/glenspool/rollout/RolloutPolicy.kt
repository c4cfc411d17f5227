package glenspool.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Who decides that a level becomes active. The constants' names are stored. */
enum class ActivationMode {
    /** The leader activates a level as soon as the evidence is complete. */
    AUTOMATIC,

    /** An operator approves the activation of a level; the evidence must be complete as well. */
    MANUAL,

    /** No level becomes active. */
    HOLD,
}

/** Whether a process whose build can't read the active level reports that it is not ready, or exits. */
enum class FencedReaction { UNREADY, EXIT }

/** The limits on how much more often events may occur after a step of an upgrade than before it. */
data class HealthLimits(
    /** The time before a step that is compared with the time after it. */
    val window: Duration = 10.minutes,
    /** The number of events of one kind that are always tolerated after a step. */
    val toleratedEvents: Long = 20,
    /** The multiple of the earlier rate that is tolerated in addition. */
    val toleratedFactor: Double = 3.0,
)

/** The settings of the rollout, from its settings file. */
data class RolloutPolicy(
    val mode: ActivationMode = ActivationMode.AUTOMATIC,
    val fencedReaction: FencedReaction = FencedReaction.UNREADY,
    /** How long each member's process must have been ready without interruption before an activation. */
    val settlingTime: Duration = 20.seconds,
    /** A member's report that is older than this does not count as evidence. */
    val evidenceAge: Duration = 10.seconds,
    /** How long a member may hold the rollout back before operators are warned; also the interval between warnings. */
    val leftBehindAfter: Duration = 10.minutes,
    val health: HealthLimits = HealthLimits(),
)
