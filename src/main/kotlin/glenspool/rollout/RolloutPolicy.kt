package glenspool.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Who decides that a level becomes active. The constants' names are stored. */
enum class ActivationMode {
    /** The leader, as soon as the evidence is complete. */
    AUTOMATIC,

    /** An operator; the evidence must be complete as well. */
    MANUAL,

    /** Nobody: no level becomes active. */
    HOLD,
}

/** What a process does whose build can't read the active level: it reports not to be ready, or exits. */
enum class FencedReaction { UNREADY, EXIT }

/** How much more often events may occur after a step of an upgrade than before it. */
data class HealthLimits(
    /** The time before a step that is compared with the time after it. */
    val window: Duration = 10.minutes,
    /** The number of events of one kind that are always tolerated after a step. */
    val toleratedEvents: Long = 20,
    /** The multiple of the earlier rate that is tolerated beyond that. */
    val toleratedFactor: Double = 3.0,
)

/** The settings of the rollout, from its settings file. */
data class RolloutPolicy(
    val mode: ActivationMode = ActivationMode.AUTOMATIC,
    val fencedReaction: FencedReaction = FencedReaction.UNREADY,
    /** How long each member's process must have been ready without interruption. */
    val settlingTime: Duration = 20.seconds,
    /** A report older than this is no evidence. */
    val evidenceAge: Duration = 10.seconds,
    /** How long a member may hold the rollout back until operators are warned; the warning is repeated as often. */
    val leftBehindAfter: Duration = 10.minutes,
    val health: HealthLimits = HealthLimits(),
)
