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

/** The rules of a recovery, one by one, in made-up time. */
class RecoveryRulesTest {
    private val policy = RecoveryPolicy()
    private val setting = RecoverySetting(16.seconds, 2.seconds, 3.seconds)

    private fun witness(vararg reads: Pair<Long?, Duration>) =
        ContinuityWitness(4.seconds).also { w ->
            reads.forEach { (leader, at) ->
                w
                    .stateRead(leader, at)
            }
        }

    @Test
    fun `a process witnesses a term only if it saw it begin or saw its lease renewed`() {
        assertEquals(3L, witness(null to 0.seconds, 3L to 1.seconds).firstToken)
        // What was there at the first look may be a remainder of a leader that has ended.
        assertNull(witness(3L to 0.seconds, 3L to 3.seconds, null to 3.seconds).firstToken)
        assertEquals(3L, witness(3L to 0.seconds, 3L to 2.seconds, 3L to 4.seconds).firstToken)
        assertEquals(4L, witness(3L to 0.seconds, 4L to 1.seconds).firstToken)
        // After an outage every lease has its full time again.
        val interrupted = witness(3L to 0.seconds)
        interrupted.readingInterrupted(9.seconds)
        interrupted.stateRead(3L, 9.seconds)
        assertNull(interrupted.firstToken)
    }

    @Test
    fun `a cold start is proved, and never guessed`() {
        val nothing = StoredRecovery.Absent

        fun said(token: Long?) = MemberWitness(true, token)
        val silent = MemberWitness(false, null)
        assertEquals(StartKind.FIRST, StartJudgement.judge(1, null, listOf(silent, silent), nothing))
        assertEquals(StartKind.TAKE_OVER, StartJudgement.judge(5, 4, listOf(silent, silent), nothing))
        assertEquals(StartKind.TAKE_OVER, StartJudgement.judge(5, null, listOf(silent, said(2)), nothing))
        assertEquals(StartKind.UNKNOWN, StartJudgement.judge(5, null, listOf(silent, said(null)), nothing))
        assertEquals(StartKind.COLD, StartJudgement.judge(5, null, listOf(said(null), said(null)), nothing))
        // That the others saw this very term begin proves nothing of the time before.
        assertEquals(StartKind.COLD, StartJudgement.judge(5, 5, listOf(said(5), said(null)), nothing))
        val open = RecoveryRecord(4, RecoveryPhase.GATHERING, 1.seconds)
        assertEquals(StartKind.CONTINUED, StartJudgement.judge(5, 4, listOf(said(2)), StoredRecovery.Present(open, 9)))
        assertEquals(
            StartKind.TAKE_OVER,
            StartJudgement
                .judge(5, 4, listOf(said(2)), StoredRecovery.Present(open.copy(phase = RecoveryPhase.NORMAL), 9)),
        )
        assertEquals(
            StartKind.CONTINUED,
            StartJudgement
                .judge(5, 4, listOf(said(2)), StoredRecovery.Unreadable(9, "malformed")),
        )
    }

    @Test
    fun `each phase admits what it should`() {
        val causes: List<OrderCause> =
            listOf(StartCause.RESTORED, ScaleOutCause.HEADROOM, StopCause.ORPHANED, DeletionCause.SILENT, ForgetCause.RECORDED)
        val admitted =
            RecoveryPhase.entries.associateWith { phase ->
                causes.filter { phase.admits(it) }.map { it.kind }
            }
        val expected =
            mapOf(
                RecoveryPhase.READING to listOf(OrderKind.FORGET),
                RecoveryPhase.GATHERING to listOf(OrderKind.START, OrderKind.FORGET),
                RecoveryPhase.ADOPTING to listOf(OrderKind.START, OrderKind.SCALE_OUT, OrderKind.FORGET),
                RecoveryPhase.REPAIRING to
                    listOf(OrderKind.START, OrderKind.SCALE_OUT, OrderKind.STOP, OrderKind.DELETION, OrderKind.FORGET),
                RecoveryPhase.NORMAL to
                    listOf(OrderKind.START, OrderKind.SCALE_OUT, OrderKind.STOP, OrderKind.DELETION, OrderKind.FORGET),
            )
        assertEquals(expected, admitted)
    }

    private fun facts(
        now: Duration,
        kind: StartKind = StartKind.COLD,
        heard: Int = 0,
        repairable: Int = 1,
        paused: Boolean = false,
        breaker: BreakerState = BreakerState.CLOSED,
    ) = PhaseFacts(now, kind, true, GatheringProgress(listOf(GatheringProgress.Group("a", "big", 10, heard))), repairable, 0, true, breaker, paused)

    @Test
    fun `phases go on when they are complete or their time is over, and not while paused`() {
        val machine = PhaseMachine(policy, setting, 0.seconds)
        assertEquals(RecoveryPhase.GATHERING, machine.advance(facts(0.seconds))?.phase)
        assertNull(machine.advance(facts(7.seconds, heard = 8)))
        assertNull(machine.advance(facts(9.seconds, heard = 8, paused = true)))
        // One late machine in ten is not waited for; nor are the others for ever.
        assertEquals(PhaseEnd.TIME_OVER, machine.advance(facts(9.seconds, heard = 8))?.end)
        assertEquals(RecoveryPhase.ADOPTING, machine.state.phase)
        assertNull(machine.advance(facts(99.seconds, breaker = BreakerState(true, 9, 10, 9.seconds, null))))
        assertEquals(RecoveryPhase.REPAIRING, machine.advance(facts(100.seconds))?.phase)
        assertNull(machine.advance(facts(101.seconds)))
        assertEquals(
            PhaseState(RecoveryPhase.NORMAL, 102.seconds, PhaseEnd.COMPLETE),
            machine
                .advance(facts(102.seconds, repairable = 0)),
        )
        val withoutList = PhaseMachine(policy, setting, 0.seconds)
        assertEquals(PhaseEnd.TIME_OVER, withoutList.advance(facts(3.seconds).copy(listRead = false))?.end)
        assertNull(
            withoutList
                .advance(facts(4.seconds).copy(listRead = false, gathering = GatheringProgress(emptyList()))),
            "nobody to wait for is known",
        )
        val ordinary = PhaseMachine(policy, setting, 0.seconds)
        assertEquals(
            PhaseState(RecoveryPhase.NORMAL, 1.seconds, PhaseEnd.ORDINARY_START),
            ordinary
                .advance(facts(1.seconds, StartKind.TAKE_OVER)),
        )
    }

    @Test
    fun `the breaker holds until there is less to do, an operator approves or its time is over`() {
        fun opened() = CircuitBreaker(policy).also { assertTrue(it.judge(4, 10, false, 1.seconds).isOpen) }
        assertFalse(CircuitBreaker(policy).judge(3, 10, false, 1.seconds).isOpen)
        assertTrue(opened().judge(4, 10, false, 60.seconds).isOpen)
        assertEquals(BreakerRelease.FEWER_DIFFERENCES, opened().judge(3, 10, false, 2.seconds).release)
        assertEquals(BreakerRelease.APPROVED, opened().judge(9, 10, true, 2.seconds).release)
        val late = opened()
        assertEquals(BreakerRelease.TIME_OVER, late.judge(9, 10, false, 61.seconds).release)
        assertFalse(late.judge(10, 10, false, 62.seconds).isOpen, "once released it stays so")
    }

    @Test
    fun `a budget gives so many a second, and what was spent stays spent when the fleet is known better`() {
        var now = 0.seconds
        val budget = RepairBudget(RepairRates(stops = 0.1)) { now }
        budget.resize(50)

        fun taken() = generateSequence { budget.take(OrderKind.STOP) }.takeWhile { it }.count()
        assertEquals(1, taken(), "what the smallest fleet may do is there at first")
        now += 1.seconds
        assertEquals(5, taken())
        budget.resize(100)
        assertEquals(0, taken())
        now += 0.5.seconds
        assertEquals(5, taken())
        assertTrue(budget.take(OrderKind.FORGET))
    }

    @Test
    fun `a task of an unknown job is stopped only when its key was read as absent after it was seen`() {
        val engine = RecoveryEngine(policy, setting, 2, 0.seconds, StartKind.COLD)
        val order = ProposedOrder(StopCause.UNRECORDED, "m1", TaskKey("u", 0))
        val tasks = listOf(TaskStatus(order.task!!, 1, TaskState.RUNNING, null, false))
        engine
            .machineObserved(
                Heartbeat("m1", "addr", "big", "a", false, 1, 1, 2, null, tasks), HeartbeatSource.WORKER, true,
                3
                    .seconds,
            )
        engine.machinesListed(emptyList(), 3.seconds)
        (4..9).forEach { engine.tick(it.seconds) }
        assertEquals(RecoveryPhase.REPAIRING, engine.phase)
        engine.stateRead(2.9.seconds)
        assertFalse(engine.admits(order))
        engine.stateRead(3.1.seconds)
        engine.pause()
        assertFalse(engine.admits(order))
        engine.resume()
        assertTrue(engine.admits(order))
        assertFalse(engine.admits(order), "one a second for so small a fleet")
    }

    @Test
    fun `the stored record comes back as it was, and nothing else is taken for one`() {
        for (phase in RecoveryPhase.entries) {
            val record =
                RecoveryRecord(
                    7, phase, 99.seconds, isPaused = true,
                    isApproved =
                        phase == RecoveryPhase.NORMAL,
                )
            assertEquals(record, RecoveryWire.decode(RecoveryWire.encode(record)))
        }
        val good = RecoveryWire.encode(RecoveryRecord(7, RecoveryPhase.READING, 99.seconds))
        for (name in good.keys) assertThrows(MalformedMessage::class.java, { RecoveryWire.decode(good - name) }, name)
        assertThrows(MalformedMessage::class.java) { RecoveryWire.decode(good + ("phase" to "dreaming")) }
    }
}
