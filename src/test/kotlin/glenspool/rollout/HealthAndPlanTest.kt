package glenspool.rollout

import glenspool.simulation.RolloutSimulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** What stops an upgrade, and which controller comes next. */
class HealthAndPlanTest {
    private val levels = BuildLevels("new", 0, 1)

    private fun report(boot: String, refusals: Long) = MemberReport("b", boot, levels, true, HealthCounts(0, 0, refusals, 0))

    @Test
    fun `the time since a step is compared with the time before it, over restarts`() {
        val gate = HealthGate(HealthLimits(window = 10.minutes, tolerated = 5, factor = 2.0))
        for (minute in 0..9) {
            gate.add(report("one", minute * 10L))
            gate.sample(minute.minutes)
        }
        assertEquals(emptyList<HealthFailure>(), gate.failures(9.minutes, 9.minutes))
        // Another process counts from zero. In one minute as much is tolerated as a share of what there was before.
        gate.add(report("two", 20))
        gate.sample(10.minutes)
        assertEquals(emptyList<HealthFailure>(), gate.failures(9.minutes, 10.minutes))
        gate.add(report("two", 60))
        gate.sample(10.minutes + 10.seconds)
        val failure = gate.failures(9.minutes, 10.minutes + 10.seconds).single()
        assertEquals(HealthFailure("refused requests", 90, 60), failure)
        // The same within ten minutes is what was usual.
        assertEquals(emptyList<HealthFailure>(), gate.failures(9.minutes, 19.minutes))
    }

    @Test
    fun `a service that got worse with the last step stops the plan and holds the level`() {
        val scene = RolloutSimulation(RolloutPolicy(health = HealthLimits(tolerated = 3)))
        scene.elect("a")
        val engine = RolloutEngine(scene.leader.registry, scene.policy, listOf("a", "b", "c"), scene.now)
        var refusals = 0L

        fun hear(second: Int) {
            val at = scene.now + second.seconds
            for (name in listOf("a", "c")) engine.heard(MemberReport(name, name, levels, true), at)
            val after = second >= 60
            if (after) refusals += 3
            engine
                .heard(MemberReport("b", if (after) "b-2" else "b-1", if (after) levels else BuildLevels("old", 0, 0), true, HealthCounts(0, 0, refusals, 0)), at)
            engine.step(scene.input().copy(now = at))
        }
        for (second in 0..100 step 2) hear(second)
        val overview = engine.overview(scene.input().copy(now = scene.now + 100.seconds))
        assertEquals(HoldCause.HEALTH, overview.hold?.cause)
        assertTrue((overview.plan.single() as PlanStep.Stop).reason.startsWith("refused requests"))
    }

    @Test
    fun `followers come first, the leader last, and none while another is not well`() {
        val scene = RolloutSimulation()
        listOf("a", "b").forEach { scene.member(it).restart(0, unmanaged = true) }
        scene.elect("c")
        scene.run(10.seconds)
        assertEquals(listOf<PlanStep>(PlanStep.Replace("a", false), PlanStep.Replace("b", false)), scene.overview().plan)
        scene.member("a").up = false
        scene.run(20.seconds)
        assertEquals(PlanStep.WaitFor("a", "not reachable"), scene.overview().plan.first())
        scene.member("a").restart(1)
        scene.elect("a")
        scene.run(10.seconds)
        assertEquals(listOf<PlanStep>(PlanStep.Replace("b", false)), scene.overview().plan)
        scene.member("c").restart(2)
        scene.run(4.seconds)
        assertEquals(HoldCause.MEMBER_OLD_BUILD, scene.overview().hold?.cause)
        // Members with the newest build that anybody shows come last; the leader among the others closes the list.
        assertEquals(PlanStep.Replace("b", false), scene.overview().plan.first())
    }
}
