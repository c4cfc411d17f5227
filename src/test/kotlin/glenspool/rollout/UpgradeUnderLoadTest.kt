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

/** Three controllers are upgraded one at a time under load, then taken back, then upgraded again. */
class UpgradeUnderLoadTest {
    @TempDir
    lateinit var dir: File
    private val policy = RolloutPolicy(settle = 400.milliseconds, evidenceAge = 1200.milliseconds)
    private val old = registryUpTo(1)
    private val new = registryUpTo(2)
    private val names = listOf("bobbin-0", "bobbin-1", "bobbin-2")

    private class Phase(val name: String, val from: Duration, val to: Duration)

    private val phases = ArrayList<Phase>()

    private fun LoopbackService.phase(name: String, body: () -> Unit) {
        val from = now
        body()
        phases.add(Phase(name, from, now))
    }

    private fun gaps(history: JobHistory, phase: Phase): String {
        val accepted = history.longestGap<HistoryEvent.Accepted>(phase.from, phase.to).inWholeMilliseconds
        val started = history.longestGap<HistoryEvent.Started>(phase.from, phase.to).inWholeMilliseconds
        return "took ${(phase.to - phase.from).inWholeMilliseconds} ms, longest without an acceptance $accepted ms, without a start $started ms"
    }

    private fun LoopbackService.level() = state.get(Keys.LEVEL)?.value?.let { it["level"] to it["stage"] }

    private fun LoopbackService.awaitLevel(level: Long) =
        await("level $level is active") {
            level() == level to "active"
        }

    /** Followers first, the leader last, as the plan says. */
    private fun LoopbackService.replaceAll(registry: FeatureRegistry) {
        val order = names.filter { it != leader } + listOfNotNull(leader)
        order.forEach { replace(it, registry) }
    }

    @Test
    fun `no job is lost, repeated or called two things while controllers go forward, back and forward again`() {
        LoopbackService(dir, policy, seed = 7).use { service ->
            names.forEach { service.start(it, old) }
            service.awaitLevel(1)
            service.await("jobs run") { service.history.finished.size >= 5 }
            // The first upgraded members alone change nothing, however long it takes.
            service.phase("one left behind") {
                val behind = checkNotNull(service.leader)
                names.filter { it != behind }.forEach { service.replace(it, new) }
                repeat(4) { service.endOne { name -> if (name == behind) old else new } }
                service.outage(1.seconds)
                service.endOne { name -> if (name == behind) old else new }
                val begun = service.now
                service.await("two seconds have passed") { service.now - begun > 2.seconds }
                assertEquals(1L to "active", service.level())
            }
            // A rollback halfway, and forward again.
            service.phase("rollback halfway") { service.replaceAll(old) }
            service.phase("upgrade") {
                service.replaceAll(new)
                service.awaitLevel(2)
            }
            // An old build that comes back now does not serve, and says why.
            val fencedMember = names.first { it != service.leader }
            service.kill(fencedMember)
            service.start(fencedMember, old)
            service.await("it is fenced") {
                (service.readiness(fencedMember) as? CallResult.Answer)?.body?.get("needs_level") ==
                    2L
            }
            assertTrue(
                service
                    .ask(fencedMember)
                    .status
                    ?.fence
                    .orEmpty()
                    .contains("level 2 (next-form) is active"),
            )
            assertFalse(service.ask(fencedMember, RolloutRequest(RolloutVerb.HOLD)).accepted)
            service.replace(fencedMember, new)
            // Down again under load, by an operator's word at any controller, with the leader ending on the way.
            assertTrue(service.ask(fencedMember, RolloutRequest(RolloutVerb.DEACTIVATE, level = 2)).accepted)
            service.leader?.let { service.replace(it, new) }
            service.awaitLevel(1)
            service.phase("rollback after deactivation") { service.replaceAll(old) }
            service.replaceAll(new)
            assertEquals(1L to "active", service.level())
            assertTrue(service.ask(names[0], RolloutRequest(RolloutVerb.ACTIVATE, level = 2)).accepted)
            service.awaitLevel(2)
            service.finish()
            val faults = HistoryChecker(longestStall = 8.seconds, cancelWithin = 24.seconds).faults(service.history)
            assertEquals(emptyList<String>(), faults)
            assertEquals(4, service.fleetSize, "a machine was given up")
            phases.forEach { println("upgrade under load: ${it.name} ${gaps(service.history, it)}") }
        }
    }

    private fun history(vararg events: HistoryEvent) =
        JobHistory {
            Duration.ZERO
        }.also { history ->
            events.forEach { event ->
                history
                    .add { event }
            }
        }

    @Test
    fun `the checker finds a planted duplicate, loss, stall, contradiction and late start`() {
        fun faults(vararg events: HistoryEvent) = HistoryChecker(8.seconds, 24.seconds).faults(history(*events))
        val accepted = HistoryEvent.Accepted(1.seconds, "a")
        val started = HistoryEvent.Started(2.seconds, "a", "i-1")
        val left = HistoryEvent.Left(3.seconds, "a", "i-1", true)
        val told = HistoryEvent.Told(4.seconds, "a", "done")
        assertEquals(emptyList<String>(), faults(accepted, started, left, told))
        assertEquals(
            listOf("a started on i-2 while on [i-1]"),
            faults(
                accepted, started,
                HistoryEvent
                    .Started(2.seconds, "a", "i-2"),
                left, told,
            ),
        )
        assertEquals(listOf("a was accepted and has no final state"), faults(accepted, started, left))
        assertEquals(
            listOf("a has several final states: [done, aborted]"),
            faults(
                accepted, started, left, told,
                told
                    .copy(stage = "aborted"),
            ),
        )
        assertEquals(listOf("a is called done and never completed"), faults(accepted, told))
        val later = HistoryEvent.Accepted(10.seconds, "b")
        assertEquals(
            listOf("no accepted submission for 9.0 s"),
            faults(
                accepted, started, left, told, later,
                HistoryEvent
                    .Told(10.seconds, "b", "aborted"),
            ),
        )
        val cancelled = HistoryEvent.CancelConfirmed(0.seconds, "a")
        assertEquals(
            listOf("a started long after it was cancelled"),
            faults(
                accepted, cancelled,
                started
                    .copy(at = 25.seconds),
                left, told,
            ),
        )
    }
}
