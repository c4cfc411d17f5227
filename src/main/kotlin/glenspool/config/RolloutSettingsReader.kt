package glenspool.config

import glenspool.rollout.ActivationMode
import glenspool.rollout.FencedReaction
import glenspool.rollout.HealthLimits
import glenspool.rollout.RolloutPolicy
import java.io.File

/** Reads the policy file for managed rollouts. */
class RolloutSettingsReader {
    /** @throws SettingsError if the file can't be read or contains an invalid value */
    fun read(file: File): RolloutPolicy = PolicyTable.read(file, ::policy)

    private fun policy(root: PolicyTable): RolloutPolicy {
        val default = RolloutPolicy()
        root.reportUnknownNames("mode", "fenced", "settle_s", "evidence_s", "left_behind_s", "health")
        return RolloutPolicy(
            mode = root.choice("mode", default.mode, ActivationMode.entries),
            fencedReaction = root.choice("fenced", default.fencedReaction, FencedReaction.entries),
            settlingTime = root.duration("settle_s", default.settlingTime),
            evidenceAge = root.duration("evidence_s", default.evidenceAge, MIN_EVIDENCE_S),
            leftBehindAfter = root.duration("left_behind_s", default.leftBehindAfter),
            health = root.table("health")?.let { health(it, default.health) } ?: default.health,
        )
    }

    private fun health(table: PolicyTable, default: HealthLimits): HealthLimits {
        table.reportUnknownNames("window_s", "tolerated", "factor")
        return HealthLimits(
            window = table.duration("window_s", default.window),
            toleratedEvents = table.number("tolerated", default.toleratedEvents.toDouble(), 0.0).toLong(),
            toleratedFactor = table.number("factor", default.toleratedFactor, 1.0),
        )
    }

    private companion object {
        /** In seconds. Members are polled every two seconds, and evidence has to stay valid if one reply is lost. */
        const val MIN_EVIDENCE_S = 5.0
    }
}
