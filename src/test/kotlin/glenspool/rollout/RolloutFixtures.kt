package glenspool.rollout

import glenspool.simulation.RolloutSimulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf

/** Why the next level is held; null if it is not held. */
internal val RolloutSimulation.hold: Hold? get() = overview().hold

/** Restarts the members with a build without levels. */
internal fun RolloutSimulation.restartWithOldBuild(vararg members: String) =
    members.forEach { member(it).restart(highest = 0, isUnmanaged = true) }

internal fun RolloutSimulation.fenceOf(member: String): Fence? = member(member).gate.fence()

internal fun RolloutSimulation.permitOf(member: String, level: Int): WritePermit? = member(member).gate.permit(level)

/** Returns the reason why the request is refused. */
internal fun RolloutSimulation.refusalOf(request: OperatorRequest): String =
    assertInstanceOf(OrderOutcome.Refused::class.java, applyOrder(request)).reason

internal fun RolloutSimulation.accept(request: OperatorRequest) {
    assertInstanceOf(OrderOutcome.Accepted::class.java, applyOrder(request))
}

/** Asserts the level record's level and stage. */
internal fun RolloutSimulation.assertLevel(level: Int, stage: LevelStage = LevelStage.ACTIVE) {
    val record = records.level().valueOrNull()
    assertEquals(level to stage, record?.level to record?.stage)
}
