package glenspool.rollout

import glenspool.core.model.JobRecord
import glenspool.core.model.StoredPlacement
import glenspool.simulation.RolloutSimulation
import glenspool.simulation.job
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.conditions
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Leaving a level again: each stage, and what happens when it is interrupted there. */
class DeactivationTest {
    private val scene = RolloutSimulation()
    private val split =
        JobRecord(
            job("a", tasks = 9), 5.seconds, 3, BitSet(), listOf(StoredPlacement(1, 1, "i-1")),
            placementParts =
                mapOf(
                    0 to listOf(StoredPlacement(2, 3, "i-2")),
                ),
        )

    @BeforeEach
    fun activate() {
        scene.elect("a")
        scene.run(30.seconds)
        assertEquals(1, scene.active)
    }

    private fun store(record: JobRecord, permit: WritePermit?) =
        scene.state
            .transact(permit?.conditions().orEmpty(), listOf(Put(Keys.job(record.spec.id), RecordWire.encode(record))), emptyList())

    private fun stage() =
        scene.records
            .level()
            .valueOrNull()
            ?.let { it.level to it.stage }

    @Test
    fun `nothing new is written, what is left is waited for, and then the level is lowered and stays so`() {
        store(split, scene.member("b").gate.permit(1))
        assertTrue(scene.order(OperatorRequest.Deactivate(1)) is OrderOutcome.Accepted)
        scene.run(1.minutes)
        assertEquals(1 to LevelStage.LEAVING, stage())
        scene.members.forEach { assertNull(it.gate.permit(1)) }
        // Rewritten by the leader's ordinary changes.
        store(split.copy(placementParts = emptyMap()), null)
        scene.run(4.seconds)
        assertEquals(0 to LevelStage.ACTIVE, stage())
        scene.run(10.minutes)
        assertEquals(0 to LevelStage.ACTIVE, stage())
        assertEquals(HoldCause.LOWERED_BY_OPERATOR, scene.overview().hold?.cause)
        scene.order(OperatorRequest.Resume)
        scene.run(30.seconds)
        assertEquals(1 to LevelStage.ACTIVE, stage())
    }

    @Test
    fun `a write that was permitted before, and arrives after, is refused`() {
        val permit = scene.member("b").gate.permit(1)
        scene.order(OperatorRequest.Deactivate(1))
        scene.run(4.seconds)
        assertEquals(0 to LevelStage.ACTIVE, stage())
        assertEquals(listOf(Keys.LEVEL), store(split, permit))
        // Nor does it count once the level is active again: it is another version of the record.
        scene.order(OperatorRequest.Activate(1))
        scene.run(30.seconds)
        assertEquals(1 to LevelStage.ACTIVE, stage())
        assertEquals(listOf(Keys.LEVEL), store(split, permit))
        assertNull(store(split, scene.member("b").gate.permit(1)))
    }

    @Test
    fun `the leader may end at each stage, before, after or without an answer`() {
        for (fate in listOf(RolloutSimulation.Fate.REFUSED, RolloutSimulation.Fate.LATE, RolloutSimulation.Fate.ANSWER_LOST)) {
            scene.order(OperatorRequest.Deactivate(1))
            repeat(2) { step ->
                scene.fate = fate
                scene.now += 2.seconds
                scene.round()
                scene.fate = RolloutSimulation.Fate.DONE
                scene.elect(if (step == 0) "b" else "c")
                scene.deliverLate()
                assertTrue(stage() in setOf(1 to LevelStage.ACTIVE, 1 to LevelStage.LEAVING, 0 to LevelStage.ACTIVE), "${stage()}")
            }
            scene.run(10.seconds)
            assertEquals(0 to LevelStage.ACTIVE, stage())
            scene.order(OperatorRequest.Resume)
            scene.run(30.seconds)
            assertEquals(1 to LevelStage.ACTIVE, stage())
        }
    }

    @Test
    fun `a level is not lowered beside a controller that would go on writing its form, or that may be one`() {
        scene.member("c").restart(1, unmanaged = true)
        scene.order(OperatorRequest.Deactivate(1))
        scene.run(1.minutes)
        assertEquals(1 to LevelStage.LEAVING, stage())
        scene.member("c").up = false
        scene.run(1.minutes)
        assertEquals(1 to LevelStage.LEAVING, stage())
        scene.member("c").restart(1)
        scene.run(4.seconds)
        assertEquals(0 to LevelStage.ACTIVE, stage())
    }

    @Test
    fun `an operator may change his mind while records are left`() {
        store(split, scene.member("b").gate.permit(1))
        scene.order(OperatorRequest.Deactivate(1))
        scene.run(10.seconds)
        scene.order(OperatorRequest.Resume)
        scene.run(4.seconds)
        assertEquals(1 to LevelStage.ACTIVE, stage())
    }

    @Test
    fun `a level without a way down, or one that is not active, is refused at once`() {
        assertTrue((scene.order(OperatorRequest.Deactivate(2)) as OrderOutcome.Refused).reason.contains("level 1 is"))
        scene.members.forEach { it.restart(3) }
        scene.elect("a")
        scene.run(2.minutes)
        assertEquals(3 to LevelStage.ACTIVE, stage())
        assertTrue(
            (scene.order(OperatorRequest.Deactivate(3)) as OrderOutcome.Refused)
                .reason
                .contains("can't be deactivated"),
        )
        scene.run(1.minutes)
        assertEquals(3 to LevelStage.ACTIVE, stage())
    }
}
