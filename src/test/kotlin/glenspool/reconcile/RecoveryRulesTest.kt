package glenspool.reconcile

import glenspool.core.DeletionCause
import glenspool.core.ForgetCause
import glenspool.core.HeartbeatSource
import glenspool.core.OrderCause
import glenspool.core.OrderKind
import glenspool.core.ProposedOrder
import glenspool.core.ScaleOutCause
import glenspool.core.StartCause
import glenspool.core.StopCause
import glenspool.core.model.Heartbeat
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.wire.MalformedMessage
import glenspool.wire.RecoveryWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The rules of a recovery, one by one, in simulated time. */
class RecoveryRulesTest {
    private val policy = RecoveryPolicy()
    private val timings = RecoveryTimings(lease = 16.seconds, heartbeatInterval = 2.seconds, listLag = 3.seconds)

    /** Returns the first token of the evidence after reads of the store that returned these leaders' tokens. */
    private fun firstTokenAfter(vararg reads: Pair<Long?, Duration>): Long? {
        val tracker = ContinuityTracker(staleLeaseLimit = 4.seconds)
        reads.forEach { (leader, at) -> tracker.recordStoreRead(leader, at) }
        return tracker.firstToken
    }

    @Test
    fun `a term is continuity evidence only if the process observed its election or a renewal of its lease`() {
        assertEquals(3L, firstTokenAfter(null to 0.seconds, 3L to 1.seconds))
        assertEquals(3L, firstTokenAfter(3L to 0.seconds, 3L to 2.seconds, 3L to 4.seconds))
        assertEquals(4L, firstTokenAfter(3L to 0.seconds, 4L to 1.seconds))
        // A record that exists at the first read may be stale, because its leader may have ended.
        assertNull(firstTokenAfter(3L to 0.seconds, 3L to 3.seconds, null to 3.seconds))
    }

    @Test
    fun `a gap in reading the store extends the time until a term counts as continuity evidence`() {
        val tracker = ContinuityTracker(staleLeaseLimit = 4.seconds)
        tracker.recordStoreRead(3L, 0.seconds)

        tracker.recordReadGap(9.seconds)
        tracker.recordStoreRead(3L, 9.seconds)

        assertNull(tracker.firstToken)
    }

    @Test
    fun `a start is cold only if every controller answered and none has evidence of an earlier term`() {
        fun answered(firstToken: Long?) = MemberContinuityEvidence(answered = true, firstToken)
        val unanswered = MemberContinuityEvidence(answered = false, firstToken = null)

        fun classify(token: Long, ownFirstToken: Long?, vararg members: MemberContinuityEvidence): StartKind {
            val noRecord = StoredRecovery.Absent
            return StartClassifier.classify(token, ownFirstToken, members.toList(), noRecord)
        }
        assertEquals(StartKind.FIRST, classify(1, null, unanswered, unanswered))
        assertEquals(StartKind.TAKE_OVER, classify(5, 4, unanswered, unanswered))
        assertEquals(StartKind.TAKE_OVER, classify(5, null, unanswered, answered(2)))
        assertEquals(StartKind.UNKNOWN, classify(5, null, unanswered, answered(null)))
        assertEquals(StartKind.COLD, classify(5, null, answered(null), answered(null)))
        // Evidence of the new term itself proves nothing about the time before it.
        assertEquals(StartKind.COLD, classify(5, 5, answered(5), answered(null)))
    }

    @Test
    fun `a start continues a recovery whose record is unfinished or unreadable`() {
        val unfinished = RecoveryRecord(4, RecoveryPhase.GATHERING, 1.seconds)
        val finished = unfinished.copy(phase = RecoveryPhase.NORMAL)
        val members = listOf(MemberContinuityEvidence(answered = true, firstToken = 2))

        fun classify(recovery: StoredRecovery) = StartClassifier.classify(5, 4, members, recovery)
        assertEquals(StartKind.CONTINUED, classify(StoredRecovery.Present(unfinished, 9)))
        assertEquals(StartKind.TAKE_OVER, classify(StoredRecovery.Present(finished, 9)))
        assertEquals(StartKind.CONTINUED, classify(StoredRecovery.Unreadable(9, "malformed")))
    }

    @Test
    fun `each phase admits its kinds of orders`() {
        val causes: List<OrderCause> =
            listOf(
                StartCause.RESTORED,
                ScaleOutCause.HEADROOM,
                StopCause.ORPHANED,
                DeletionCause.SILENT,
                ForgetCause.RECORDED,
            )
        val all = listOf(OrderKind.START, OrderKind.SCALE_OUT, OrderKind.STOP, OrderKind.DELETION, OrderKind.FORGET)
        val expected =
            mapOf(
                RecoveryPhase.READING to listOf(OrderKind.FORGET),
                RecoveryPhase.GATHERING to listOf(OrderKind.START, OrderKind.FORGET),
                RecoveryPhase.ADOPTING to listOf(OrderKind.START, OrderKind.SCALE_OUT, OrderKind.FORGET),
                RecoveryPhase.REPAIRING to all,
                RecoveryPhase.NORMAL to all,
            )
        val admitted =
            RecoveryPhase.entries.associateWith { phase -> causes.filter { phase.admits(it) }.map { it.kind } }
        assertEquals(expected, admitted)
    }

    private fun facts(
        now: Duration,
        startKind: StartKind = StartKind.COLD,
        reported: Int = 0,
        repairable: Int = 1,
        isListRead: Boolean = true,
        isPaused: Boolean = false,
        breaker: BreakerState = BreakerState.CLOSED,
        gathering: GatheringProgress = GatheringProgress(listOf(GatheringProgress.Group("a", "big", 10, reported))),
    ) = PhaseFacts(
        now,
        startKind,
        isListRead,
        gathering,
        repairable,
        unconfirmed = 0,
        isCompared = true,
        breaker,
        isPaused,
    )

    private fun phaseMachine() = PhaseStateMachine(policy, timings, startedAt = 0.seconds)

    @Test
    fun `a phase ends when it is complete or its time limit is over, but not while the recovery is paused`() {
        val phases = phaseMachine()
        assertEquals(RecoveryPhase.GATHERING, phases.advance(facts(0.seconds))?.phase)

        assertNull(phases.advance(facts(7.seconds, reported = 8)), "eight of ten machines are not enough")
        assertNull(phases.advance(facts(9.seconds, reported = 8, isPaused = true)))
        assertEquals(PhaseEnd.TIME_OVER, phases.advance(facts(9.seconds, reported = 8))?.end)
        assertEquals(RecoveryPhase.ADOPTING, phases.state.phase)

        val openBreaker =
            BreakerState(isOpen = true, affectedCount = 9, fleetSize = 10, openSince = 9.seconds, release = null)
        assertNull(phases.advance(facts(99.seconds, breaker = openBreaker)))
        assertEquals(RecoveryPhase.REPAIRING, phases.advance(facts(100.seconds))?.phase)

        assertNull(phases.advance(facts(101.seconds)))
        val normal = PhaseState(RecoveryPhase.NORMAL, 102.seconds, PhaseEnd.COMPLETE)
        assertEquals(normal, phases.advance(facts(102.seconds, repairable = 0)))
    }

    @Test
    fun `gathering is not complete before the cloud has listed the machines that should report`() {
        val phases = phaseMachine()
        assertEquals(PhaseEnd.TIME_OVER, phases.advance(facts(3.seconds, isListRead = false))?.end)
        assertNull(phases.advance(facts(4.seconds, isListRead = false, gathering = GatheringProgress.NONE)))
    }

    @Test
    fun `an ordinary failover ends the recovery immediately`() {
        val normal = PhaseState(RecoveryPhase.NORMAL, 1.seconds, PhaseEnd.ORDINARY_START)
        assertEquals(normal, phaseMachine().advance(facts(1.seconds, StartKind.TAKE_OVER)))
    }

    @Test
    fun `the breaker stays open until fewer machines are affected, an operator approves or its time limit is over`() {
        fun evaluated(breaker: CircuitBreaker, machines: Int, at: Duration, isApproved: Boolean = false): BreakerState {
            val fleet = 10
            return breaker.evaluate(machines, fleet, isApproved, at)
        }

        fun newOpenBreaker() = CircuitBreaker(policy).also { assertTrue(evaluated(it, 4, 1.seconds).isOpen) }
        assertFalse(evaluated(CircuitBreaker(policy), 3, 1.seconds).isOpen)
        assertTrue(evaluated(newOpenBreaker(), 4, 60.seconds).isOpen)
        assertEquals(BreakerRelease.FEWER_DIFFERENCES, evaluated(newOpenBreaker(), 3, 2.seconds).release)
        assertEquals(BreakerRelease.APPROVED, evaluated(newOpenBreaker(), 9, 2.seconds, isApproved = true).release)
        val timedOut = newOpenBreaker()
        assertEquals(BreakerRelease.TIME_OVER, evaluated(timedOut, 9, 61.seconds).release)
        assertFalse(evaluated(timedOut, 10, 62.seconds).isOpen, "a released breaker never opens again")
    }

    @Test
    fun `the budget limits orders per second, and a larger fleet does not refund spent orders`() {
        var now = 0.seconds
        val budget = RepairBudget(RepairRates(stops = 0.1)) { now }

        fun consumeAll() = generateSequence { budget.tryConsume(OrderKind.STOP) }.takeWhile { it }.count()
        budget.resize(fleet = 50)
        assertEquals(1, consumeAll(), "the initial budget is that of the smallest fleet")
        now += 1.seconds
        assertEquals(5, consumeAll())
        budget.resize(fleet = 100)
        assertEquals(0, consumeAll())
        now += 0.5.seconds
        assertEquals(5, consumeAll())
        assertTrue(budget.tryConsume(OrderKind.FORGET), "permissions to forget are not limited")
    }

    @Test
    fun `a task of an unknown job is stopped only if a store read sent after its first report found no such job`() {
        val engine = RecoveryEngine(policy, timings, token = 2, startedAt = 0.seconds, StartKind.COLD)
        val gate = engine.hooks.gate
        val observer = engine.hooks.observer
        val task = TaskKey("u", 0)
        val order = ProposedOrder(StopCause.UNRECORDED, "m1", task)
        val tasks = listOf(TaskStatus(task, 1, TaskState.RUNNING, null, false))
        val heartbeat = Heartbeat("m1", "addr", "big", "a", false, 1, 1, 2, null, tasks)
        observer.machineObserved(heartbeat, HeartbeatSource.WORKER, trusted = true, 3.seconds)
        observer.machinesListed(emptyList(), 3.seconds)
        (4..9).forEach { engine.tick(it.seconds) }
        assertEquals(RecoveryPhase.REPAIRING, engine.phase)

        engine.recordStoreRead(2.9.seconds)
        assertFalse(gate.admits(order))
        engine.recordStoreRead(3.1.seconds)
        engine.pause()
        assertFalse(gate.admits(order))
        engine.resume()
        assertTrue(gate.admits(order))
        assertFalse(gate.admits(order), "a fleet of this size admits one stop per second")
    }

    @Test
    fun `a recovery record decodes to itself, and incomplete or invalid fields are rejected as malformed`() {
        for (phase in RecoveryPhase.entries) {
            val isApproved = phase == RecoveryPhase.NORMAL
            val record = RecoveryRecord(7, phase, 99.seconds, isPaused = true, isApproved)
            assertEquals(record, RecoveryWire.decode(RecoveryWire.encode(record)))
        }
        val fields = RecoveryWire.encode(RecoveryRecord(7, RecoveryPhase.READING, 99.seconds))
        for (name in fields.keys) {
            assertThrows(MalformedMessage::class.java, { RecoveryWire.decode(fields - name) }, name)
        }
        assertThrows(MalformedMessage::class.java) { RecoveryWire.decode(fields + ("phase" to "undefined")) }
    }
}
