package glenspool.rollout

import glenspool.simulation.RolloutSimulation
import glenspool.state.Keys
import glenspool.state.Put
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Tests activation and its edge cases in simulated time. */
class RolloutCasesTest {
    private val simulation = RolloutSimulation()

    private fun storeUnconditionally(vararg puts: Put) =
        simulation.state.transact(emptyMap(), puts.toList(), emptyList())

    @Test
    fun `a level becomes active once every member has been ready for the settling time, and not before`() {
        simulation.elect("a")
        simulation.run(18.seconds)
        assertEquals(HoldCause.MEMBER_SETTLING, simulation.hold?.cause)
        assertEquals(0, simulation.activeLevel)

        simulation.run(6.seconds)
        assertEquals(1, simulation.activeLevel)
        assertEquals(listOf("sealed-records"), simulation.levelHistory.map { it.name })
    }

    @Test
    fun `a member with an old build holds the level and is named in warnings until it is replaced`() {
        simulation.restartWithOldBuild("c")
        simulation.elect("a")
        simulation.run(3.hours)
        assertEquals(Hold(HoldCause.MEMBER_OLD_BUILD, "c", "unmanaged"), simulation.hold)
        assertEquals(0, simulation.activeLevel)
        val warnings = simulation.notices.filter { "member c is left behind" in it }
        // The first report arrives two seconds after the start; then there is one warning every ten minutes.
        assertEquals(17, warnings.size)
        assertTrue(warnings.last().contains("for 10"), warnings.last())
        val stored = simulation.records.state().valueOrNull()
        assertEquals("c", stored?.hold?.member)
        assertEquals(simulation.recordTime(102_000), stored?.heldSince)

        simulation.member("c").up = false
        simulation.run(1.minutes)
        assertEquals(HoldCause.MEMBER_UNREACHABLE, simulation.hold?.cause)

        simulation.restartWithOldBuild("c")
        simulation.run(1.minutes)
        assertEquals(HoldCause.MEMBER_OLD_BUILD, simulation.hold?.cause)

        simulation.member("c").restart(1)
        simulation.run(30.seconds)
        assertEquals(1, simulation.activeLevel)
    }

    @Test
    fun `a rollback before activation fences no member, and the upgrade can be repeated`() {
        simulation.restartWithOldBuild("b", "c")
        simulation.elect("a")
        simulation.run(1.minutes)
        simulation.member("b").restart(1)
        simulation.run(10.seconds)

        simulation.restartWithOldBuild("b", "a")
        simulation.elect("b")
        assertNull(simulation.fenceOf("a"))

        simulation.members.forEach { it.restart(1) }
        simulation.elect("c")
        simulation.run(30.seconds)
        assertEquals(1, simulation.activeLevel)
    }

    @Test
    fun `a member that alternates between builds prevents the activation`() {
        simulation.elect("a")
        repeat(30) {
            simulation.restartWithOldBuild("b")
            simulation.run(4.seconds)
            simulation.member("b").restart(1)
            simulation.run(14.seconds)
        }
        assertEquals(0, simulation.activeLevel)

        simulation.run(10.seconds)
        assertEquals(1, simulation.activeLevel)
    }

    private val oldBuild = BuildLevels("old", 0, 0)
    private val newBuild = BuildLevels("new", 0, 1)

    private fun report(boot: String, build: BuildLevels = newBuild, member: String = "b") =
        MemberReport(member, boot, build, isReady = true)

    @Test
    fun `a delayed answer of an earlier process is ignored`() {
        val tracker = MemberTracker(listOf("b"), evidenceAge = 10.seconds, startedAt = 0.seconds)

        tracker.memberReported(report("b-2", oldBuild), requestSentAt = 20.seconds)
        tracker.memberReported(report("b-1", newBuild), requestSentAt = 19.seconds)

        val view = tracker.view(21.seconds).single()
        assertEquals(oldBuild, view.report?.levels)
    }

    @Test
    fun `the readiness time restarts with a new process and after a gap in the evidence`() {
        val tracker = MemberTracker(listOf("b"), evidenceAge = 10.seconds, startedAt = 0.seconds)

        tracker.memberReported(report("b-3"), requestSentAt = 22.seconds)
        tracker.memberReported(report("b-4"), requestSentAt = 30.seconds)
        assertEquals(1.seconds, tracker.view(31.seconds).single().readyFor)

        // Another process may have been running during the gap.
        tracker.memberReported(report("b-4"), requestSentAt = 41.seconds)
        assertEquals(0.seconds, tracker.view(41.seconds).single().readyFor)
        assertEquals(0.seconds, tracker.view(60.seconds).single().readyFor)
    }

    @Test
    fun `a report of a member that is not configured is ignored`() {
        val tracker = MemberTracker(listOf("b"), evidenceAge = 10.seconds, startedAt = 0.seconds)
        tracker.memberReported(report("x", member = "unconfigured"), requestSentAt = 61.seconds)
        assertEquals(listOf("b"), tracker.view(61.seconds).map { it.member })
    }

    @Test
    fun `a leader that ends before its write changes nothing, and the next leader collects new evidence`() {
        simulation.elect("a")
        simulation.transactionOutcome = RolloutSimulation.TransactionOutcome.REFUSED
        simulation.run(40.seconds)
        simulation.transactionOutcome = RolloutSimulation.TransactionOutcome.DONE
        simulation.member("a").up = false
        simulation.elect("b")
        simulation.run(40.seconds)
        assertEquals(HoldCause.MEMBER_UNREACHABLE, simulation.hold?.cause)
        assertEquals(0, simulation.activeLevel)

        simulation.member("a").restart(1)
        simulation.run(30.seconds)
        assertEquals(listOf(1), simulation.levelHistory.map { it.level })
    }

    @Test
    fun `an activation whose answer is lost is stored once, and the next leader does not repeat it`() {
        simulation.elect("a")
        simulation.transactionOutcome = RolloutSimulation.TransactionOutcome.ANSWER_LOST
        simulation.run(30.seconds)
        simulation.elect("b")
        simulation.run(1.minutes)

        assertEquals(listOf(1), simulation.levelHistory.map { it.level })
        assertEquals(1L, simulation.levelHistory.single().token)
    }

    @Test
    fun `a deposed leader's activation that arrives late changes nothing`() {
        simulation.elect("a")
        simulation.transactionOutcome = RolloutSimulation.TransactionOutcome.LATE
        simulation.run(30.seconds)
        simulation.restartWithOldBuild("c")
        simulation.transactionOutcome = RolloutSimulation.TransactionOutcome.DONE
        simulation.elect("b")
        simulation.run(10.seconds)

        simulation.executeLateTransactions()

        assertEquals(0, simulation.activeLevel)
        assertEquals(emptyList<LevelRecord>(), simulation.levelHistory)
    }

    @Test
    fun `a delayed activation of the same leader changes nothing if the level record is newer`() {
        simulation.elect("a")
        simulation.transactionOutcome = RolloutSimulation.TransactionOutcome.LATE
        simulation.run(24.seconds)
        simulation.transactionOutcome = RolloutSimulation.TransactionOutcome.DONE
        simulation.run(4.seconds)
        assertEquals(1, simulation.activeLevel)
        val before = simulation.records.level()

        simulation.executeLateTransactions()

        assertEquals(before, simulation.records.level())
    }

    @Test
    fun `a network partition between peers holds the level even if the state service is reachable`() {
        simulation.elect("a")
        simulation.member("b").isPartitionedFromPeers = true
        simulation.run(5.minutes)
        assertEquals(Hold(HoldCause.MEMBER_UNREACHABLE, "b"), simulation.hold)

        simulation.member("b").isPartitionedFromPeers = false
        simulation.run(18.seconds)
        assertEquals(0, simulation.activeLevel)
        simulation.run(8.seconds)
        assertEquals(1, simulation.activeLevel)
    }

    @Test
    fun `a member that is not ready holds the level`() {
        simulation.elect("a")
        simulation.member("c").ready = false
        simulation.run(1.minutes)
        assertEquals(Hold(HoldCause.MEMBER_NOT_READY, "c"), simulation.hold)
    }

    @Test
    fun `an activation does not wait for an excluded member`() {
        simulation.member("c").up = false
        simulation.elect("a")
        simulation.run(1.minutes)
        assertEquals(0, simulation.activeLevel)

        simulation.applyOrder(OperatorRequest.Exclude("c", "an operator"))
        simulation.run(4.seconds)

        assertEquals(1, simulation.activeLevel)
        val orders = simulation.records.orders().valueOrNull()
        assertEquals(listOf("an operator"), orders?.exclusions?.map { it.by })
    }

    @Test
    fun `an excluded member that restarts with an old build is fenced, or reported if its build knows no levels`() {
        simulation.member("c").up = false
        simulation.elect("a")
        simulation.run(1.minutes)
        simulation.applyOrder(OperatorRequest.Exclude("c", "an operator"))
        simulation.run(4.seconds)
        assertEquals(1, simulation.activeLevel)

        simulation.member("c").restart(0)
        assertEquals(1, simulation.fenceOf("c")?.neededLevel)
        assertFalse(simulation.member("c").report().isReady)

        simulation.restartWithOldBuild("c")
        simulation.run(11.minutes)
        val warning = "member c is left behind: build unmanaged can't read the active level 1"
        assertTrue(simulation.notices.any { warning in it }, simulation.notices.toString())
    }

    @Test
    fun `an exclusion can be cancelled, and needs a configured member`() {
        simulation.elect("a")
        assertTrue(simulation.applyOrder(OperatorRequest.Exclude("x", "an operator")) is OrderOutcome.Refused)

        simulation.accept(OperatorRequest.Exclude("c", "an operator"))
        simulation.accept(OperatorRequest.Include("c"))

        val orders = simulation.records.orders().valueOrNull()
        assertEquals(emptyList<Exclusion>(), orders?.exclusions)
    }

    @Test
    fun `a manual policy waits for the operator's approval, and a hold stays until the operator resumes`() {
        val manual = RolloutSimulation(RolloutPolicy(mode = ActivationMode.MANUAL))
        manual.elect("a")
        manual.run(1.minutes)
        assertEquals(HoldCause.AWAITING_OPERATOR, manual.hold?.cause)
        assertEquals(listOf<PlanStep>(PlanStep.Activate(1)), manual.overview().plan)
        assertTrue(manual.applyOrder(OperatorRequest.Activate(2)) is OrderOutcome.Refused)

        manual.applyOrder(OperatorRequest.Activate(1))
        manual.applyOrder(OperatorRequest.Hold)
        manual.run(1.minutes)
        assertEquals(HoldCause.POLICY, manual.hold?.cause)

        manual.applyOrder(OperatorRequest.Resume)
        manual.applyOrder(OperatorRequest.Activate(1))
        manual.elect("b")
        manual.run(30.seconds)
        assertEquals(1, manual.activeLevel)
    }

    private val unreadableLevel = mapOf("level" to "one")
    private val futureLevel =
        mapOf("level" to 9L, "name" to "future", "stage" to "active", "token" to 1L, "changed" to 0L)

    @Test
    fun `an unreadable level record is not replaced, and permits and fences nothing`() {
        simulation.elect("a")
        simulation.run(30.seconds)
        storeUnconditionally(Put(Keys.LEVEL, unreadableLevel))
        simulation.run(1.minutes)

        assertEquals(HoldCause.LEVEL_UNREADABLE, simulation.hold?.cause)
        assertNull(simulation.permitOf("a", 1))
        assertNull(simulation.fenceOf("a"))
        assertEquals(1, simulation.levelHistory.size)
    }

    @Test
    fun `a level record of a future build is not replaced and fences this build`() {
        simulation.elect("a")
        simulation.run(30.seconds)
        storeUnconditionally(Put(Keys.LEVEL, unreadableLevel))
        simulation.run(1.minutes)
        storeUnconditionally(Put(Keys.LEVEL, futureLevel))
        simulation.run(1.minutes)

        assertEquals(9, simulation.fenceOf("a")?.neededLevel)
        assertNull(simulation.permitOf("a", 1))
        assertEquals(1, simulation.levelHistory.size)
    }

    @Test
    fun `if the level record is missing, the rollout proceeds as before the first activation`() {
        simulation.elect("a")
        simulation.run(30.seconds)
        storeUnconditionally(Put(Keys.LEVEL, futureLevel))
        simulation.run(1.minutes)
        simulation.state.transact(emptyMap(), emptyList(), listOf(Keys.LEVEL))
        assertNull(simulation.permitOf("a", 1))

        simulation.run(30.seconds)

        assertEquals(1, simulation.activeLevel)
    }

    @Test
    fun `unreadable records of the rollout are never overwritten`() {
        simulation.elect("a")
        storeUnconditionally(
            Put(Keys.ROLLOUT_STATE, mapOf("target" to "far")),
            Put(Keys.ROLLOUT_ORDERS, mapOf("mode" to 1L)),
        )

        fun rolloutRecords() = simulation.state.entries.filterKeys { it.startsWith(Keys.ROLLOUT) }
        val before = rolloutRecords()

        simulation.run(1.minutes)

        assertEquals(HoldCause.ORDERS_UNREADABLE, simulation.hold?.cause)
        assertEquals(before, rolloutRecords())
        assertNull(simulation.records.orders().replaceableVersion())
    }

    @Test
    fun `a build that no longer reads the base forms does not serve before its level is active`() {
        simulation.member("a").restart(2, lowest = 1)
        assertEquals(0, simulation.fenceOf("a")?.neededLevel)

        simulation.elect("b")
        simulation.run(1.minutes)
        assertEquals(Hold(HoldCause.MEMBER_NOT_READY, "a"), simulation.hold)
    }

    @Test
    fun `levels become active one at a time, and a build that does not know the active one is fenced`() {
        simulation.members.forEach { it.restart(3) }
        simulation.elect("a")
        simulation.run(2.minutes)
        assertEquals(listOf(1, 2, 3), simulation.levelHistory.map { it.level })

        simulation.member("b").restart(2)
        val fence = simulation.fenceOf("b")
        assertEquals(3, fence?.neededLevel)
        assertTrue(fence.toString().contains("level 3 (last-form) is active"))
        assertNotNull(simulation.permitOf("a", 3))
        assertNull(simulation.permitOf("b", 2))
    }

    @Test
    fun `nothing is stored while nothing changes`() {
        simulation.elect("a")
        simulation.run(1.minutes)
        val before = simulation.state.revision
        simulation.run(2.hours)
        assertEquals(before, simulation.state.revision)
        assertTrue(simulation.stateWrites <= 6, "${simulation.stateWrites}")
    }
}
