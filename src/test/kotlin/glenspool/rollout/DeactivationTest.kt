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

/** Tests the deactivation of a level and its interruption at each stage. */
class DeactivationTest {
    private val simulation = RolloutSimulation()

    /** A record in a form of level 1, and the same record rewritten in the base form. */
    private val splitRecord =
        JobRecord(
            job("a", tasks = 9),
            5.seconds,
            3,
            BitSet(),
            listOf(StoredPlacement(1, 1, "i-1")),
            placementParts = mapOf(0 to listOf(StoredPlacement(2, 3, "i-2"))),
        )
    private val rewrittenRecord = splitRecord.copy(placementParts = emptyMap())

    @BeforeEach
    fun activate() {
        simulation.elect("a")
        simulation.run(30.seconds)
        assertEquals(1, simulation.activeLevel)
    }

    /** Stores the record under the permit's condition. Returns the keys whose conditions failed, null if none did. */
    private fun store(record: JobRecord, permit: WritePermit?): List<String>? {
        val put = Put(Keys.job(record.spec.id), RecordWire.encode(record))
        return simulation.state.transact(permit?.conditions().orEmpty(), listOf(put), emptyList())
    }

    @Test
    fun `a level is lowered once no record has its form, and stays lowered until the operator resumes`() {
        store(splitRecord, simulation.permitOf("b", 1))
        simulation.accept(OperatorRequest.Deactivate(1))
        simulation.run(1.minutes)
        simulation.assertLevel(1, LevelStage.LEAVING)
        simulation.members.forEach { assertNull(it.gate.permit(1)) }

        store(rewrittenRecord, permit = null)
        simulation.run(4.seconds)
        simulation.assertLevel(0)

        simulation.run(10.minutes)
        simulation.assertLevel(0)
        assertEquals(HoldCause.LOWERED_BY_OPERATOR, simulation.hold?.cause)

        simulation.applyOrder(OperatorRequest.Resume)
        simulation.run(30.seconds)
        simulation.assertLevel(1)
    }

    @Test
    fun `a write that was permitted before a deactivation and arrives after it is refused`() {
        val permit = simulation.permitOf("b", 1)
        simulation.applyOrder(OperatorRequest.Deactivate(1))
        simulation.run(4.seconds)
        simulation.assertLevel(0)
        assertEquals(listOf(Keys.LEVEL), store(splitRecord, permit))

        // The permit remains invalid when the level is active again, because the level record has another version.
        simulation.applyOrder(OperatorRequest.Activate(1))
        simulation.run(30.seconds)
        simulation.assertLevel(1)
        assertEquals(listOf(Keys.LEVEL), store(splitRecord, permit))
        assertNull(store(splitRecord, simulation.permitOf("b", 1)))
    }

    @Test
    fun `a deactivation completes even if leaders end before, during or after their write at any stage`() {
        val outcomes =
            listOf(
                RolloutSimulation.TransactionOutcome.REFUSED,
                RolloutSimulation.TransactionOutcome.LATE,
                RolloutSimulation.TransactionOutcome.ANSWER_LOST,
            )
        val stages = setOf(1 to LevelStage.ACTIVE, 1 to LevelStage.LEAVING, 0 to LevelStage.ACTIVE)
        for (outcome in outcomes) {
            simulation.applyOrder(OperatorRequest.Deactivate(1))
            for (nextLeader in listOf("b", "c")) {
                simulation.transactionOutcome = outcome
                simulation.now += 2.seconds
                simulation.runRound()
                simulation.transactionOutcome = RolloutSimulation.TransactionOutcome.DONE
                simulation.elect(nextLeader)
                simulation.executeLateTransactions()
                val record = simulation.records.level().valueOrNull()
                assertTrue(record?.let { it.level to it.stage } in stages, "$record")
            }
            simulation.run(10.seconds)
            simulation.assertLevel(0)
            simulation.applyOrder(OperatorRequest.Resume)
            simulation.run(30.seconds)
            simulation.assertLevel(1)
        }
    }

    @Test
    fun `a level is not lowered while a member that may write its form is running or unreachable`() {
        simulation.member("c").restart(1, isUnmanaged = true)
        simulation.applyOrder(OperatorRequest.Deactivate(1))
        simulation.run(1.minutes)
        simulation.assertLevel(1, LevelStage.LEAVING)

        simulation.member("c").up = false
        simulation.run(1.minutes)
        simulation.assertLevel(1, LevelStage.LEAVING)

        simulation.member("c").restart(1)
        simulation.run(4.seconds)
        simulation.assertLevel(0)
    }

    @Test
    fun `an operator can cancel a deactivation while records still have the form`() {
        store(splitRecord, simulation.permitOf("b", 1))
        simulation.applyOrder(OperatorRequest.Deactivate(1))
        simulation.run(10.seconds)
        simulation.applyOrder(OperatorRequest.Resume)
        simulation.run(4.seconds)
        simulation.assertLevel(1)
    }

    @Test
    fun `deactivation of a level that is not active is refused`() {
        assertTrue("level 1 is" in simulation.refusalOf(OperatorRequest.Deactivate(2)))
    }

    @Test
    fun `deactivation of a level that does not support it is refused, and the level stays active`() {
        simulation.members.forEach { it.restart(3) }
        simulation.elect("a")
        simulation.run(2.minutes)
        simulation.assertLevel(3)

        assertTrue("can't be deactivated" in simulation.refusalOf(OperatorRequest.Deactivate(3)))
        simulation.run(1.minutes)
        simulation.assertLevel(3)
    }
}
