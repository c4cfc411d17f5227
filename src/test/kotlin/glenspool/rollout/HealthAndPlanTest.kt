package glenspool.rollout

import glenspool.simulation.RolloutSimulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Tests what stops an upgrade and which controller is replaced next. */
class HealthAndPlanTest {
    private val oldBuild = BuildLevels("old", 0, 0)
    private val newBuild = BuildLevels("new", 0, 1)
    private val noFailures = emptyList<HealthFailure>()

    private fun report(member: String, boot: String, build: BuildLevels = newBuild, refusals: Long = 0): MemberReport {
        val health = HealthCounts(0, 0, refusals, 0)
        return MemberReport(member, boot, build, isReady = true, health)
    }

    @Test
    fun `events since a step are compared with those before it, across restarts`() {
        val gate = HealthGate(HealthLimits(window = 10.minutes, toleratedEvents = 5, toleratedFactor = 2.0))
        for (minute in 0..9) {
            gate.add(report("b", "one", refusals = minute * 10L))
            gate.sample(minute.minutes)
        }
        assertEquals(noFailures, gate.failures(9.minutes, 9.minutes))

        // A restarted process counts from zero. Within one minute a share of the earlier number is tolerated.
        gate.add(report("b", "two", refusals = 20))
        gate.sample(10.minutes)
        assertEquals(noFailures, gate.failures(9.minutes, 10.minutes))

        gate.add(report("b", "two", refusals = 60))
        gate.sample(10.minutes + 10.seconds)
        val failure = gate.failures(9.minutes, 10.minutes + 10.seconds).single()
        assertEquals(HealthFailure(HealthEvent.REFUSED_REQUEST, before = 90, after = 60), failure)
        assertEquals("refused requests: 60 since the last step, 90 in the time before it", failure.toString())

        // The same number within ten minutes is not more than before.
        assertEquals(noFailures, gate.failures(9.minutes, 19.minutes))
    }

    @Test
    fun `too many events since the last step stop the plan and hold the level`() {
        val simulation = RolloutSimulation(RolloutPolicy(health = HealthLimits(toleratedEvents = 3)))
        simulation.elect("a")
        val startedAt = simulation.now
        val engine = RolloutEngine(simulation.leader.registry, simulation.policy, listOf("a", "b", "c"), startedAt)
        var refusals = 0L
        for (second in 0..100 step 2) {
            val at = startedAt + second.seconds
            val isUpgraded = second >= 60
            if (isUpgraded) refusals += 3
            val upgraded = if (isUpgraded) report("b", "b-2", newBuild, refusals) else report("b", "b-1", oldBuild)
            for (report in listOf(report("a", "a"), report("c", "c"), upgraded)) engine.memberReported(report, at)
            engine.step(simulation.input().copy(now = at))
        }

        val overview = engine.overview(simulation.input().copy(now = startedAt + 100.seconds))

        assertEquals(HoldCause.HEALTH, overview.hold?.cause)
        val stop = assertInstanceOf(PlanStep.Stop::class.java, overview.plan.single())
        assertTrue(stop.reason.startsWith("refused requests"))
    }

    @Test
    fun `followers are replaced first, the leader last, and none while another member is unhealthy`() {
        fun replacements(vararg members: String): List<PlanStep> =
            members.map { PlanStep.Replace(it, isLeader = false) }
        val simulation = RolloutSimulation()
        simulation.restartWithOldBuild("a", "b")
        simulation.elect("c")
        simulation.run(10.seconds)
        assertEquals(replacements("a", "b"), simulation.overview().plan)

        simulation.member("a").up = false
        simulation.run(20.seconds)
        assertEquals(PlanStep.WaitFor("a", "not reachable"), simulation.overview().plan.first())

        simulation.member("a").restart(1)
        simulation.elect("a")
        simulation.run(10.seconds)
        assertEquals(replacements("b"), simulation.overview().plan)

        // An even newer build at another member makes the leader's build an old one as well.
        simulation.member("c").restart(2)
        simulation.run(4.seconds)
        assertEquals(HoldCause.MEMBER_OLD_BUILD, simulation.hold?.cause)
        assertEquals(PlanStep.Replace("b", isLeader = false), simulation.overview().plan.first())
    }
}
