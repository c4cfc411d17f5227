package glenspool.core.cluster

import glenspool.core.CommandOutcome
import glenspool.core.ProposedOrder
import glenspool.core.Scheduler
import glenspool.core.SendCommands
import glenspool.core.StopCause
import glenspool.core.lifecycle.Placement
import glenspool.core.lifecycle.PlacementStage
import glenspool.core.model.Command
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.asWorkersSeeIt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Commands on their way to machines: one request to a machine at a time, and only machines with commands are looked at.
 */
class CommandQueue(private val core: Scheduler) {
    private val pending = LinkedHashSet<Machine>()

    /** Machines with a start that may still be carried out. */
    private val unconfirmedStarts = LinkedHashSet<Machine>()

    fun add(m: Machine, c: Command) {
        m.pendingCommands.add(c)
        pending.add(m)
    }

    fun stop(p: Placement, cause: StopCause, grace: Duration) {
        if (p.stop != null && !(cause == StopCause.CANCELLED && p.stop != StopCause.CANCELLED)) return
        p.stop = cause
        core.note {
            "stop task=${p.key.job}/${p.task} attempt=${p.attempt} machine=${p.machine} reason=$cause grace=$grace"
        }
        p.stopGrace = grace
        p.stopSent = null
        val m = core.machines[p.machine] ?: return
        if (p.step == PlacementStage.PLANNED) return
        add(m, StopTask(p.key, p.attempt, grace, cause))
        p.stopSent = core.now
    }

    /** Whether starts had to wait at the last [flush]: the most urgent go first then. */
    private var startsHeld = false

    fun flush() {
        if (pending.isEmpty()) return
        val machines = if (startsHeld) pending.sortedWith(byUrgency) else pending.toList()
        startsHeld = false
        for (m in machines) {
            core.workCounters.commandScans++
            if (m.pendingCommands.isEmpty() || m.isDeleting) {
                pending.remove(m)
            } else if (!m.requestInFlight && m.addr.isNotEmpty() && m.trusted && core.now >= m.nextRequestAt) {
                sendCommands(m)
            }
        }
    }

    private fun sendCommands(m: Machine) {
        val commands = takeCommands(m)
        // What is held back goes out as soon as it may.
        if (m.pendingCommands.isEmpty()) pending.remove(m) else startsHeld = true
        if (commands.isNotEmpty()) send(m, commands)
    }

    /**
     * By the most urgent job that waits for a start there: highest priority, then the one that has to start first;
     * hopeless ones last.
     */
    private val byUrgency =
        compareByDescending<Machine> { m ->
            waitingJobs(m).maxOfOrNull { it.effectivePriority }
        }.thenBy { m -> waitingJobs(m).minOfOrNull(core::order) }

    private fun waitingJobs(m: Machine) = m.pendingCommands.filterIsInstance<StartTask>().mapNotNull { core.jobs[it.key.job] }

    /** The machine's commands that are still wanted and may be sent now; starts that have to wait stay with it. */
    private fun takeCommands(m: Machine): List<Command> {
        val (admitted, held) =
            withoutRepeats(m.pendingCommands.filter { stillWanted(m, it) })
                .partition { it !is StartTask || core.hooks.gate.admits(ProposedOrder(it.cause, m.id, it.key)) }
        m.pendingCommands.clear()
        m.pendingCommands.addAll(held)
        admitted.filterIsInstance<StartTask>().forEach { started(m, it) }
        return admitted
    }

    private fun withoutRepeats(commands: List<Command>) =
        if (commands.size >
            1
        ) {
            commands.distinctBy { it.asWorkersSeeIt() }
        } else {
            commands
        }

    private fun stillWanted(m: Machine, c: Command): Boolean {
        if (c !is StartTask) return true
        val p = m.placements[c.key]
        return p != null && p.attempt == c.attempt && p.step != PlacementStage.PLANNED && p.stop == null
    }

    private fun started(m: Machine, c: StartTask) {
        m.unconfirmedStarts.add(UnconfirmedStart(c.key, c.attempt, core.token, m.incarnation, core.now))
        unconfirmedStarts.add(m)
        m.placements[c.key]?.startSent = core.now
    }

    fun send(m: Machine, commands: List<Command>) {
        m.requestSentAt = core.now
        m.requestInFlight = true
        commands.forEach { core.orderCounts.add(it.cause) }
        core.act(SendCommands(m.id, m.addr, core.token, m.incarnation, commands))
    }

    fun ended(m: Machine, sent: SendCommands, outcome: CommandOutcome) {
        m.requestInFlight = false
        when (outcome) {
            CommandOutcome.DONE -> m.markReachable(core.now)
            CommandOutcome.REFUSED -> m.markReachable(core.now)
            CommandOutcome.NOT_SENT, CommandOutcome.UNKNOWN -> if (!core.overloaded) m.markUnreachable(m.requestSentAt ?: core.now)
            CommandOutcome.NOT_TRIED -> Unit
        }
        if (outcome == CommandOutcome.UNKNOWN) {
            m.nextRequestAt = core.now + 1.seconds
            return
        }
        m.unconfirmedStarts.removeIf { l -> l.token == sent.token && l.incarnation == sent.incarnation && l.since == m.requestSentAt }
        if (outcome == CommandOutcome.DONE) return
        m.nextRequestAt = core.now + 500.milliseconds
        for (c in sent.commands) {
            if (c is StartTask) {
                m.placements[c.key]?.let {
                    if (it.attempt == c.attempt &&
                        it.step == PlacementStage.STORED
                    ) {
                        it.startSent = null
                    }
                }
            }
        }
    }

    /** Whether a start has been without an answer for so long that the token should be raised. */
    fun hasStaleStart(): Boolean {
        val each = unconfirmedStarts.iterator()
        while (each.hasNext()) {
            val m = each.next()
            if (m.unconfirmedStarts.isEmpty() || m.id !in core.machines) {
                each.remove()
            } else if (m.unconfirmedStarts.any { core.now - it.since > LOOSE_PATIENCE }) {
                return true
            }
        }
        return false
    }

    private companion object {
        val LOOSE_PATIENCE = 1.seconds
    }
}
