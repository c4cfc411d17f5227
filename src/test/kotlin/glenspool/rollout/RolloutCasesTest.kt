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

/** Activation and its hard cases, one by one, in simulated time. */
class RolloutCasesTest {
    private val scene = RolloutSimulation()

    private fun hold() = scene.overview().hold

    private fun old(vararg names: String) = names.forEach { scene.member(it).restart(0, unmanaged = true) }

    @Test
    fun `a level becomes active once every member has shown it for the settling time, and not before`() {
        scene.elect("a")
        scene.run(18.seconds)
        assertEquals(HoldCause.MEMBER_SETTLING, hold()?.cause)
        assertEquals(0, scene.active)
        scene.run(6.seconds)
        assertEquals(1, scene.active)
        assertEquals(listOf("sealed-records"), scene.levelHistory.map { it.name })
    }

    @Test
    fun `one controller left behind for hours holds the level, is named, and goes on once it is new`() {
        old("c")
        scene.elect("a")
        scene.run(3.hours)
        assertEquals(Hold(HoldCause.MEMBER_OLD_BUILD, "c", "unmanaged"), hold())
        assertEquals(0, scene.active)
        val warnings = scene.notices.filter { "member c is left behind" in it }
        // First heard two seconds after the start; then each ten minutes.
        assertEquals(17, warnings.size)
        assertTrue(warnings.last().contains("for 10"), warnings.last())
        val stored = scene.records.state().valueOrNull()
        assertEquals("c", stored?.hold?.member)
        assertEquals(scene.moment(102_000), stored?.heldSince)
        scene.member("c").up = false
        scene.run(1.minutes)
        assertEquals(HoldCause.MEMBER_UNREACHABLE, hold()?.cause)
        old("c")
        scene.run(1.minutes)
        assertEquals(HoldCause.MEMBER_OLD_BUILD, hold()?.cause)
        scene.member("c").restart(1)
        scene.run(30.seconds)
        assertEquals(1, scene.active)
    }

    @Test
    fun `going back halfway before activation is free, and forward again`() {
        old("b", "c")
        scene.elect("a")
        scene.run(1.minutes)
        scene.member("b").restart(1)
        scene.run(10.seconds)
        old("b", "a")
        scene.elect("b")
        assertNull(scene.member("a").gate.fence())
        listOf("a", "b", "c").forEach { scene.member(it).restart(1) }
        scene.elect("c")
        scene.run(30.seconds)
        assertEquals(1, scene.active)
    }

    @Test
    fun `a member that flaps between old and new never settles`() {
        scene.elect("a")
        repeat(30) {
            old("b")
            scene.run(4.seconds)
            scene.member("b").restart(1)
            scene.run(14.seconds)
        }
        assertEquals(0, scene.active)
        scene.run(10.seconds)
        assertEquals(1, scene.active)
    }

    @Test
    fun `a held up answer of an earlier process proves nothing`() {
        val tracker = MemberTracker(listOf("b"), 10.seconds, 0.seconds)
        val new = BuildLevels("new", 0, 1)
        val old = BuildLevels("old", 0, 0)
        tracker.heard(MemberReport("b", "b-2", old, true), askedAt = 20.seconds)
        tracker.heard(MemberReport("b", "b-1", new, true), askedAt = 19.seconds)
        assertEquals(
            old,
            tracker
                .view(21.seconds)
                .single()
                .report
                ?.levels,
        )
        // The same build in another process begins its time anew.
        tracker.heard(MemberReport("b", "b-3", new, true), askedAt = 22.seconds)
        tracker.heard(MemberReport("b", "b-4", new, true), askedAt = 30.seconds)
        assertEquals(1.seconds, tracker.view(31.seconds).single().readyFor)
        // So does one that was not heard for longer than evidence lasts: it may have been another in between.
        tracker.heard(MemberReport("b", "b-4", new, true), askedAt = 41.seconds)
        assertEquals(0.seconds, tracker.view(41.seconds).single().readyFor)
        assertEquals(0.seconds, tracker.view(60.seconds).single().readyFor)
        tracker.heard(MemberReport("stranger", "x", new, true), askedAt = 61.seconds)
        assertEquals(listOf("b"), tracker.view(61.seconds).map { it.member })
    }

    @Test
    fun `a leader that ends before its write leaves the old level, and the next one gathers evidence of its own`() {
        scene.elect("a")
        scene.fate = RolloutSimulation.Fate.REFUSED
        scene.run(40.seconds)
        scene.fate = RolloutSimulation.Fate.DONE
        scene.member("a").up = false
        scene.elect("b")
        scene.run(40.seconds)
        assertEquals(HoldCause.MEMBER_UNREACHABLE, hold()?.cause)
        assertEquals(0, scene.active)
        scene.member("a").restart(1)
        scene.run(30.seconds)
        assertEquals(listOf(1), scene.levelHistory.map { it.level })
    }

    @Test
    fun `an activation whose answer is lost is stored once, and the next leader does not repeat it`() {
        scene.elect("a")
        scene.fate = RolloutSimulation.Fate.ANSWER_LOST
        scene.run(30.seconds)
        scene.elect("b")
        scene.run(1.minutes)
        assertEquals(listOf(1), scene.levelHistory.map { it.level })
        assertEquals(1L, scene.levelHistory.single().token)
    }

    @Test
    fun `a deposed leader's activation that arrives late changes nothing`() {
        scene.elect("a")
        scene.fate = RolloutSimulation.Fate.LATE
        scene.run(30.seconds)
        scene.member("c").restart(0, unmanaged = true)
        scene.fate = RolloutSimulation.Fate.DONE
        scene.elect("b")
        scene.run(10.seconds)
        scene.deliverLate()
        assertEquals(0, scene.active)
        assertEquals(emptyList<LevelRecord>(), scene.levelHistory)
    }

    @Test
    fun `a late activation of the same leader that meets a newer record changes nothing`() {
        scene.elect("a")
        scene.fate = RolloutSimulation.Fate.LATE
        scene.run(24.seconds)
        scene.fate = RolloutSimulation.Fate.DONE
        scene.run(4.seconds)
        assertEquals(1, scene.active)
        val before = scene.records.level()
        scene.deliverLate()
        assertEquals(before, scene.records.level())
    }

    @Test
    fun `a cut between peers holds the level though the state service is reachable`() {
        scene.elect("a")
        scene.member("b").cutFromPeers = true
        scene.run(5.minutes)
        assertEquals(Hold(HoldCause.MEMBER_UNREACHABLE, "b"), hold())
        scene.member("b").cutFromPeers = false
        scene.run(18.seconds)
        assertEquals(0, scene.active)
        scene.run(8.seconds)
        assertEquals(1, scene.active)
    }

    @Test
    fun `a member that is not ready holds it, as one without the state service is`() {
        scene.elect("a")
        scene.member("c").ready = false
        scene.run(1.minutes)
        assertEquals(Hold(HoldCause.MEMBER_NOT_READY, "c"), hold())
    }

    @Test
    fun `an excluded member is not waited for, and is fenced and reported when it is back with an old build`() {
        scene.member("c").up = false
        scene.elect("a")
        scene.run(1.minutes)
        assertEquals(0, scene.active)
        scene.order(OperatorRequest.Exclude("c", "an operator"))
        scene.run(4.seconds)
        assertEquals(1, scene.active)
        assertEquals(
            listOf("an operator"),
            scene.records
                .orders()
                .valueOrNull()
                ?.exclusions
                ?.map { it.by },
        )
        // A build that knows levels stops by itself; the leader names one that does not.
        scene.member("c").restart(0)
        assertEquals(
            1,
            scene
                .member("c")
                .gate
                .fence()
                ?.neededLevel,
        )
        assertFalse(scene.member("c").report().ready)
        old("c")
        scene.run(11.minutes)
        assertTrue(
            scene.notices.any {
                "member c is left behind: build unmanaged can't read the active level 1" in it
            },
            scene.notices
                .toString(),
        )
        assertTrue(scene.order(OperatorRequest.Exclude("x", "an operator")) is OrderOutcome.Refused)
        scene.order(OperatorRequest.Include("c"))
        assertEquals(
            emptyList<Exclusion>(),
            scene.records
                .orders()
                .valueOrNull()
                ?.exclusions,
        )
    }

    @Test
    fun `the operator's word is waited for where the policy says so, and a hold stands until it is taken back`() {
        val manual = RolloutSimulation(RolloutPolicy(mode = ActivationMode.MANUAL))
        manual.elect("a")
        manual.run(1.minutes)
        assertEquals(HoldCause.AWAITING_OPERATOR, manual.overview().hold?.cause)
        assertEquals(listOf<PlanStep>(PlanStep.Activate(1)), manual.overview().plan)
        assertTrue(manual.order(OperatorRequest.Activate(2)) is OrderOutcome.Refused)
        manual.order(OperatorRequest.Activate(1))
        manual.order(OperatorRequest.Hold)
        manual.run(1.minutes)
        assertEquals(HoldCause.POLICY, manual.overview().hold?.cause)
        manual.order(OperatorRequest.Resume)
        manual.order(OperatorRequest.Activate(1))
        manual.elect("b")
        manual.run(30.seconds)
        assertEquals(1, manual.active)
    }

    @Test
    fun `a level record that is missing, unreadable or from the future is never replaced by guess`() {
        scene.elect("a")
        scene.run(30.seconds)
        scene.state.transact(emptyMap(), listOf(Put(Keys.LEVEL, mapOf("level" to "one"))), emptyList())
        scene.run(1.minutes)
        assertEquals(HoldCause.LEVEL_UNREADABLE, hold()?.cause)
        assertNull(scene.member("a").gate.permit(1))
        assertNull(scene.member("a").gate.fence())
        assertEquals(1, scene.levelHistory.size)
        val future = mapOf("level" to 9L, "name" to "future", "stage" to "active", "token" to 1L, "changed" to 0L)
        scene.state.transact(emptyMap(), listOf(Put(Keys.LEVEL, future)), emptyList())
        scene.run(1.minutes)
        assertEquals(
            9,
            scene
                .member("a")
                .gate
                .fence()
                ?.neededLevel,
        )
        assertNull(scene.member("a").gate.permit(1))
        assertEquals(1, scene.levelHistory.size)
        // Without any record it is as before the first activation.
        scene.state.transact(emptyMap(), emptyList(), listOf(Keys.LEVEL))
        assertNull(scene.member("a").gate.permit(1))
        scene.run(30.seconds)
        assertEquals(1, scene.active)
    }

    @Test
    fun `what is not understood of the rollout itself is never stored over`() {
        scene.elect("a")
        scene.state.transact(
            emptyMap(),
            listOf(
                Put(Keys.ROLLOUT_STATE, mapOf("target" to "far")),
                Put(
                    Keys.ROLLOUT_ORDERS,
                    mapOf(
                        "mode" to 1L,
                    ),
                ),
            ),
            emptyList(),
        )
        val before = scene.state.entries.filterKeys { it.startsWith(Keys.ROLLOUT) }
        scene.run(1.minutes)
        assertEquals(HoldCause.ORDERS_UNREADABLE, hold()?.cause)
        assertEquals(before, scene.state.entries.filterKeys { it.startsWith(Keys.ROLLOUT) })
        assertNull(scene.records.orders().replaceableVersion())
    }

    @Test
    fun `a build that no longer reads the base forms does not serve before its level is active`() {
        scene.member("a").restart(2, lowest = 1)
        assertEquals(
            0,
            scene
                .member("a")
                .gate
                .fence()
                ?.neededLevel,
        )
        scene.elect("b")
        scene.run(1.minutes)
        assertEquals(Hold(HoldCause.MEMBER_NOT_READY, "a"), hold())
    }

    @Test
    fun `levels become active one at a time, and a build that misses one is fenced`() {
        scene.members.forEach { it.restart(3) }
        scene.elect("a")
        scene.run(2.minutes)
        assertEquals(listOf(1, 2, 3), scene.levelHistory.map { it.level })
        scene.member("b").restart(2)
        val fence = scene.member("b").gate.fence()
        assertEquals(3, fence?.neededLevel)
        assertTrue(fence.toString().contains("level 3 (last-form) is active"))
        assertNotNull(scene.member("a").gate.permit(3))
        assertNull(scene.member("b").gate.permit(2))
    }

    @Test
    fun `at rest nothing is stored`() {
        scene.elect("a")
        scene.run(1.minutes)
        val before = scene.state.revision
        scene.run(2.hours)
        assertEquals(before, scene.state.revision)
        assertTrue(scene.stateWrites <= 6, "${scene.stateWrites}")
    }
}
