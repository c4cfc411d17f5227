package glenspool.rollout

import glenspool.http.CallResult
import glenspool.peer.RolloutRequest
import glenspool.peer.RolloutVerb
import glenspool.simulation.HistoryChecker
import glenspool.simulation.HistoryEvent
import glenspool.simulation.JobHistory
import glenspool.simulation.LoopbackService
import glenspool.simulation.registryUpTo
import glenspool.state.Keys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Upgrades three controllers one at a time under load, rolls them back and upgrades them again. */
class UpgradeUnderLoadTest {
    @TempDir
    lateinit var dir: File
    private val policy = RolloutPolicy(settlingTime = 400.milliseconds, evidenceAge = 1200.milliseconds)
    private val oldBuild = registryUpTo(1)
    private val newBuild = registryUpTo(2)
    private val names = listOf("bobbin-0", "bobbin-1", "bobbin-2")

    private class Phase(val name: String, val from: Duration, val to: Duration)

    private val phases = ArrayList<Phase>()

    private fun LoopbackService.phase(name: String, body: () -> Unit) {
        val from = now
        body()
        phases.add(Phase(name, from, now))
    }

    private fun describe(phase: Phase, history: JobHistory): String {
        val time = (phase.to - phase.from).inWholeMilliseconds
        val accepted = history.longestGap<HistoryEvent.Accepted>(phase.from, phase.to).inWholeMilliseconds
        val started = history.longestGap<HistoryEvent.Started>(phase.from, phase.to).inWholeMilliseconds
        return "took $time ms, longest without an acceptance $accepted ms, without a start $started ms"
    }

    private fun LoopbackService.isLevelActive(level: Long): Boolean {
        val record = state.get(Keys.LEVEL)?.value ?: return false
        return record["level"] == level && record["stage"] == "active"
    }

    private fun LoopbackService.awaitLevel(level: Long) = await("level $level is active") { isLevelActive(level) }

    /** Replaces the followers first and the leader last, as the plan requires. */
    private fun LoopbackService.replaceAll(build: FeatureRegistry) {
        val order = names.filter { it != leader } + listOfNotNull(leader)
        order.forEach { replace(it, build) }
    }

    /** Upgrades all members but one, and verifies that this activates nothing even if members and the store fail. */
    private fun LoopbackService.upgradeAllButOne() {
        val oldMember = checkNotNull(leader)

        fun buildOf(name: String) = if (name == oldMember) oldBuild else newBuild
        names.filter { it != oldMember }.forEach { replace(it, newBuild) }
        repeat(4) { replaceRandomNode(::buildOf) }
        storeOutage(1.seconds)
        replaceRandomNode(::buildOf)
        val startedAt = now
        await("two seconds have passed") { now - startedAt > 2.seconds }
        assertTrue(isLevelActive(1))
    }

    /** Verifies that a member that restarts with an old build does not serve and reports the reason. */
    private fun LoopbackService.verifyOldBuildIsFenced(member: String) {
        kill(member)
        start(member, oldBuild)
        await("the member is fenced") { (readiness(member) as? CallResult.Response)?.body?.get("needs_level") == 2L }
        val fence = rolloutReply(member).status?.fence.orEmpty()
        assertTrue(fence.contains("level 2 (next-form) is active"), fence)
        assertFalse(rolloutReply(member, RolloutRequest(RolloutVerb.HOLD)).accepted)
        replace(member, newBuild)
    }

    @Test
    fun `no job is lost, repeated or reported twice while controllers are upgraded, rolled back and upgraded again`() {
        LoopbackService(dir, policy, seed = 7).use { service ->
            names.forEach { service.start(it, oldBuild) }
            service.awaitLevel(1)
            service.await("jobs run") { service.history.finishedJobs.size >= 5 }
            service.phase("one left behind") { service.upgradeAllButOne() }
            service.phase("rollback halfway") { service.replaceAll(oldBuild) }
            service.phase("upgrade") {
                service.replaceAll(newBuild)
                service.awaitLevel(2)
            }
            val follower = names.first { it != service.leader }
            service.verifyOldBuildIsFenced(follower)

            // An operator may order the deactivation at any controller. The leader is replaced before it is complete.
            assertTrue(service.rolloutReply(follower, RolloutRequest(RolloutVerb.DEACTIVATE, level = 2)).accepted)
            service.leader?.let { service.replace(it, newBuild) }
            service.awaitLevel(1)
            service.phase("rollback after deactivation") { service.replaceAll(oldBuild) }
            service.replaceAll(newBuild)
            assertTrue(service.isLevelActive(1))
            assertTrue(service.rolloutReply(names[0], RolloutRequest(RolloutVerb.ACTIVATE, level = 2)).accepted)
            service.awaitLevel(2)

            service.finish()
            val faults =
                HistoryChecker(maxStall = 8.seconds, cancellationDeadline = 24.seconds).violations(service.history)
            assertEquals(emptyList<String>(), faults)
            assertEquals(4, service.fleetSize, "a machine was declared lost")
            phases.forEach { println("upgrade under load: ${it.name} ${describe(it, service.history)}") }
        }
    }

    private fun faultsOf(vararg events: HistoryEvent): List<String> {
        val history = JobHistory { Duration.ZERO }
        events.forEach { event -> history.add { event } }
        return HistoryChecker(maxStall = 8.seconds, cancellationDeadline = 24.seconds).violations(history)
    }

    @Test
    fun `the checker finds a planted duplicate, loss, stall, contradiction and late start`() {
        val accepted = HistoryEvent.Accepted(1.seconds, "a")
        val started = HistoryEvent.Started(2.seconds, "a", "i-1")
        val ended = HistoryEvent.Ended(3.seconds, "a", "i-1", true)
        val finalState = HistoryEvent.FinalStateReceived(4.seconds, "a", "done")
        assertEquals(emptyList<String>(), faultsOf(accepted, started, ended, finalState))

        val duplicate = HistoryEvent.Started(2.seconds, "a", "i-2")
        val duplicateFaults = listOf("a started on i-2 while on [i-1]")
        assertEquals(duplicateFaults, faultsOf(accepted, started, duplicate, ended, finalState))

        val lossFaults = listOf("a was accepted and has no final state")
        assertEquals(lossFaults, faultsOf(accepted, started, ended))

        val contradiction = finalState.copy(stage = "aborted")
        val contradictionFaults = listOf("a has several final states: [done, aborted]")
        assertEquals(contradictionFaults, faultsOf(accepted, started, ended, finalState, contradiction))

        val incompleteFaults = listOf("a is called done and never completed")
        assertEquals(incompleteFaults, faultsOf(accepted, finalState))

        val lateAccepted = HistoryEvent.Accepted(10.seconds, "b")
        val lateFinalState = HistoryEvent.FinalStateReceived(10.seconds, "b", "aborted")
        val stallFaults = listOf("no accepted submission for 9.0 s")
        assertEquals(stallFaults, faultsOf(accepted, started, ended, finalState, lateAccepted, lateFinalState))

        val cancelled = HistoryEvent.CancelConfirmed(0.seconds, "a")
        val lateStart = started.copy(at = 25.seconds)
        val lateStartFaults = listOf("a started long after it was cancelled")
        assertEquals(lateStartFaults, faultsOf(accepted, cancelled, lateStart, ended, finalState))
    }
}
