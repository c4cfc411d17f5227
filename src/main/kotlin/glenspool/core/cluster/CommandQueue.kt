package glenspool.core.cluster

import glenspool.core.Direct
import glenspool.core.DirectOutcome
import glenspool.core.ProposedOrder
import glenspool.core.Scheduler
import glenspool.core.StopCause
import glenspool.core.lifecycle.Placement
import glenspool.core.lifecycle.Step
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
    private val loose = LinkedHashSet<Machine>()

    fun add(m: Machine, c: Command) {
        m.orders.add(c)
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
        if (p.step == Step.INTENDED) return
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
            core.effort.orderLooks++
            if (m.orders.isEmpty() || m.deleting) {
                pending.remove(m)
            } else if (!m.directBusy && m.addr.isNotEmpty() && m.trusted && core.now >= m.directRetry) {
                sendCommands(m)
            }
        }
    }

    private fun sendCommands(m: Machine) {
        val commands = takeCommands(m)
        // What is held back goes out as soon as it may.
        if (m.orders.isEmpty()) pending.remove(m) else startsHeld = true
        if (commands.isNotEmpty()) send(m, commands)
    }

    /**
     * By the most urgent job that waits for a start there: highest priority, then the one that has to start first;
     * hopeless ones last.
     */
    private val byUrgency =
        compareByDescending<Machine> { m ->
            waitingJobs(m).maxOfOrNull { it.rank }
        }.thenBy { m -> waitingJobs(m).minOfOrNull(core::order) }

    private fun waitingJobs(m: Machine) = m.orders.filterIsInstance<StartTask>().mapNotNull { core.jobs[it.key.job] }

    /** The machine's commands that are still wanted and may be sent now; starts that have to wait stay with it. */
    private fun takeCommands(m: Machine): List<Command> {
        val (admitted, held) =
            withoutRepeats(m.orders.filter { stillWanted(m, it) })
                .partition { it !is StartTask || core.hooks.gate.admits(ProposedOrder(it.cause, m.id, it.key)) }
        m.orders.clear()
        m.orders.addAll(held)
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
        return p != null && p.attempt == c.attempt && p.step != Step.INTENDED && p.stop == null
    }

    private fun started(m: Machine, c: StartTask) {
        m.loose.add(LooseStart(c.key, c.attempt, core.token, m.session, core.now))
        loose.add(m)
        m.placements[c.key]?.startSent = core.now
    }

    fun send(m: Machine, commands: List<Command>) {
        m.directAt = core.now
        m.directBusy = true
        commands.forEach { core.counts.add(it.cause) }
        core.act(Direct(m.id, m.addr, core.token, m.session, commands))
    }

    fun ended(m: Machine, sent: Direct, outcome: DirectOutcome) {
        m.directBusy = false
        when (outcome) {
            DirectOutcome.DONE -> m.reached(core.now)
            DirectOutcome.REFUSED -> m.reached(core.now)
            DirectOutcome.NOT_SENT, DirectOutcome.UNKNOWN -> if (!core.overloaded) m.unanswered(m.directAt ?: core.now)
            DirectOutcome.NOT_TRIED -> Unit
        }
        if (outcome == DirectOutcome.UNKNOWN) {
            m.directRetry = core.now + 1.seconds
            return
        }
        m.loose.removeIf { l -> l.token == sent.token && l.session == sent.session && l.since == m.directAt }
        if (outcome == DirectOutcome.DONE) return
        m.directRetry = core.now + 500.milliseconds
        for (c in sent.commands) {
            if (c is StartTask) {
                m.placements[c.key]?.let {
                    if (it.attempt == c.attempt &&
                        it.step == Step.ORDERED
                    ) {
                        it.startSent = null
                    }
                }
            }
        }
    }

    /** Whether a start has been without an answer for so long that the token should be raised. */
    fun hasStaleStart(): Boolean {
        val each = loose.iterator()
        while (each.hasNext()) {
            val m = each.next()
            if (m.loose.isEmpty() || m.id !in core.machines) {
                each.remove()
            } else if (m.loose.any { core.now - it.since > LOOSE_PATIENCE }) {
                return true
            }
        }
        return false
    }

    private companion object {
        val LOOSE_PATIENCE = 1.seconds
    }
}
