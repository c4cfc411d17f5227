package glenspool.core.cluster

import glenspool.core.DeleteMachines
import glenspool.core.DeletionCause
import glenspool.core.Probe
import glenspool.core.ProposedOrder
import glenspool.core.Resign
import glenspool.core.Scheduler
import glenspool.core.StopCause
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.PlacementStage
import glenspool.core.model.TaskState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Cancelled [jobs] should be off the machine by now. */
data class OverdueMachine(val machine: String, val addr: String, val jobs: Set<String>)

/**
 * Gives machines up that can't be heard or reached, and the leadership if that is our own fault. A machine is only
 * ever given up by deletion: neither silence nor time proves what is on it.
 */
class FailureDetector(private val core: Scheduler) {
    private val config get() = core.config
    private val now: Duration get() = core.now
    private val silence: Duration get() = maxOf(config.lease * config.tuning.silenceShare, config.heartbeatInterval * 2.5)
    private var resigned = false
    private val zones = ZonePartitionDetector(core)

    // Taken once for each look at the whole fleet, so that judging one machine does not look at all others.
    private var others = 0
    private var fresh = 0
    private var reachable = 0
    private var probesLeft = 0
    private var unreachable = 0

    fun look() {
        count()
        // A new leader has all machines to ask at once, and has yet to warm up.
        probesLeft = PROBES + core.machines.size / FLEET_PER_PROBE
        for (m in core.machines.values.toList()) watch(m)
        checkControls()
        if (resigned) return
        if (deaf()) {
            resign("no worker is heard")
        } else if (mute()) {
            resign("no worker is reached")
        }
    }

    private fun resign(why: String) {
        resigned = true
        core.act(Resign(why))
    }

    private fun count() {
        others = 0
        fresh = 0
        reachable = 0
        unreachable = 0
        zones.begin()
        // Clearly shorter than the silence bound: machines that all fell silent together must not vouch for each other.
        val recent = maxOf(silence * 0.6, config.heartbeatInterval * 1.4)
        for (m in core.machines.values) {
            if (m.isDeleting) continue
            if (m.unreachableSince != null) unreachable++
            val r = m.lastReachedAt
            if (r != null && now - r <= recent) reachable++
            if (m.booting && !m.wasHeard) continue
            others++
            if (m.lastHeardAt.let { it != null && now - it <= recent }) fresh++
            zones.add(m)
        }
        zones.judge()
    }

    private fun watch(m: Machine) {
        m.deletionCause?.let { cause ->
            if (m.deletionSentAt == null && now >= m.nextRequestAt) sendDelete(m, cause)
            return
        }
        // What this process has yet to take in may have come from this very machine.
        val quiet = now - (m.lastHeardAt ?: maxOf(m.firstSeen, core.startedAt)) - core.backlog
        if (m.booting && !m.wasHeard) {
            val boot = core.types[m.type]?.boot ?: 60.seconds
            val age = maxOf(m.age, now - m.firstSeen)
            if (age > boot * config.tuning.bootPatience + config.listLag * 2) delete(m, DeletionCause.NEVER_CAME_UP)
            return
        }
        if (m.preemptionNotice != null) {
            if (m.busyTasks() == 0 && m.trusted) {
                delete(m, DeletionCause.NOTICE)
                return
            }
            drainForNotice(m)
        }
        // Where a worker has not found a new leader, the leader asks: those that are lost must not be waited for
        // longest.
        val late = if (m.wasHeard) config.heartbeatInterval * 1.6 + 500.milliseconds else config.heartbeatInterval
        if ((quiet > late || m.unreachableSince != null) && m.addr.isNotEmpty() && now >= m.nextProbeAt) probe(m)
        if (cancelledTooLong(m)) {
            // Cancelled work on a machine that does not carry out our commands must be gone in time, heard or not.
            delete(m, DeletionCause.CANCELLED_WORK)
            return
        }
        if (zones.cut(m.zone)) return
        val unreached = m.unreachableSince
        // Its reports come in, but nothing reaches it: its tasks die with its lease, session after session. Only
        // while other machines are reached, or it is our own way out that is cut.
        if (unreached != null && now - unreached > silence && reachable > unreachable) {
            delete(m, DeletionCause.UNREACHABLE)
            return
        }
        val limit = if (isGone(m) && m.listed) config.heartbeatInterval * 2.5 else silence
        // Silence for two leases is given up in any case: if most machines are really lost, waiting would never end.
        if (quiet > limit && (mostAreHeard(m) || quiet > config.lease * 2)) {
            // A worker may need most of its lease to find a new leader, or one that was too slow to answer it: each
            // dead node costs it a time-out. Until then only questions without an answer show that the machine itself
            // is lost.
            val mayBeElsewhere = (!m.wasHeard || core.overloaded) && quiet <= config.lease && !isGone(m)
            if (mayBeElsewhere && m.unreachableSince.let { it == null || now - it < probeGap + UNANSWERED_TWICE }) return
            delete(m, DeletionCause.SILENT)
        }
    }

    /**
     * Missing from lists for longer than they lag. A new leader knows such a machine from a stored place only and has
     * no address to ask it at: the last leader deleted it, or it died, and its work would wait for a whole lease.
     */
    private fun isGone(m: Machine) = m.unlistedSince.let { it != null && now - it > config.listLag * 2 + 2.seconds }

    private val probeGap: Duration get() = maxOf(2.seconds, config.heartbeatInterval)

    private fun probe(m: Machine) {
        if (probesLeft-- <= 0) return
        m.nextProbeAt = now + probeGap
        core.act(Probe(m.id, m.addr))
    }

    /**
     * A task of a cancelled job, or one whose job is over and whose origin nobody remembers, is still there although
     * stopping it takes a moment. A new leader gets that moment before it judges.
     */
    private fun cancelledTooLong(m: Machine): Boolean {
        if (now - core.startedAt > STOP_TIME &&
            m.orphanSince.let { it != null && now - it > config.cancellationDeadline * 0.6 }
        ) {
            return true
        }
        val since = now - (cancelledSince(m) ?: return false)
        return since > config.cancellationDeadline * 0.6 && now - core.startedAt > STOP_TIME || since > config.cancellationDeadline * 0.8
    }

    /** When the first of the jobs was cancelled that have something on the machine. */
    private fun cancelledSince(m: Machine): Duration? {
        // Asked of every machine in every tick: it makes no lists.
        var due: Duration? = null
        for (p in m.placements.values) p.job.cancelledAt?.let { c -> due = minOf(due ?: c, c) }
        for (k in m.orphans.keys) core.jobs[k.job]?.cancelledAt?.let { c -> due = minOf(due ?: c, c) }
        return due
    }

    private fun cancelledOn(m: Machine): List<Job> =
        (
            m.placements.values.map { it.job } +
                m.orphans.keys.mapNotNull { core.jobs[it.job] }
        ).filter { it.cancelledAt != null }

    private val overdueAskedAt = HashMap<String, Duration>()

    /**
     * Machines whose cancelled work must be gone by now, as far as this node knows; each is named again after a while.
     */
    fun overdueMachines(at: Duration): List<OverdueMachine> {
        val result = ArrayList<OverdueMachine>()
        for (m in core.machines.values) {
            if (m.isDeleting || cancelledSince(m).let { it == null || at - it <= config.cancellationDeadline * 0.8 }) continue
            if (overdueAskedAt[m.id].let { it != null && at - it < OVERDUE_AGAIN }) continue
            overdueAskedAt[m.id] = at
            result.add(OverdueMachine(m.id, m.addr, cancelledOn(m).mapTo(HashSet()) { it.spec.id }))
        }
        return result
    }

    /** A cut or a stall on our own side makes every machine look silent: then none is given up. */
    private fun mostAreHeard(but: Machine): Boolean {
        val rest = others - 1
        if (rest <= 0) return now - core.startedAt > config.lease * 2
        return fresh * 2 > rest
    }

    /** While some machine does not answer, a few others are asked too: they tell whose fault it is. */
    private fun checkControls() {
        if (unreachable == 0 || reachable > unreachable) return
        core.machines.values
            .filter {
                it.unreachableSince == null && !it.isDeleting && it.wasHeard && it.addr.isNotEmpty() && now >= it.nextProbeAt
            }.sortedBy { it.lastReachedAt ?: Duration.ZERO }
            .take(minOf(unreachable + 1, MAX_CONTROLS))
            .forEach(::probe)
    }

    /**
     * A leader that no worker reaches keeps them all from one that could answer, until their leases end. So it
     * gives way well before that; where nobody else hears them either, nothing is lost.
     */
    private fun deaf(): Boolean {
        var up = 0
        var last: Duration? = null
        for (m in core.machines.values) {
            if (m.isDeleting || m.booting) continue
            up++
            m.lastHeardAt?.let { h -> last = maxOf(last ?: h, h) }
        }
        if (core.overloaded) return false
        if (up < DEAF_MACHINES) return false
        return last.let {
            if (it ==
                null
            ) {
                now - core.startedAt > config.lease * 0.6
            } else {
                now - it > maxOf(config.heartbeatInterval * 2.5, 3.seconds)
            }
        }
    }

    /** The same for a leader that hears workers but reaches none of those it tries. */
    private fun mute(): Boolean =
        unreachable >= DEAF_MACHINES &&
            reachable == 0 &&
            core.machines.values.count { m -> m.unreachableSince.let { it != null && now - it > silence } } >= DEAF_MACHINES

    private fun drainForNotice(m: Machine) {
        for (p in m.placements.values) {
            if (p.stop != null || p.step != PlacementStage.OBSERVED) continue
            val s = p.job.spec
            if (s.checkpointInterval > Duration.ZERO ||
                p.state == TaskState.FETCHING
            ) {
                core.stop(p, StopCause.NOTICE, s.checkpointDuration + Scheduler.GRACE_SLACK)
            }
        }
    }

    /** Gives the machine up, unless that has to wait. */
    fun delete(m: Machine, cause: DeletionCause) {
        if (m.isDeleting || cause in deferrable && !core.hooks.gate.admits(ProposedOrder(cause, m.id))) return
        core.note(important = true) {
            "give-up machine=${m.id} reason=${cause.label} tasks=${m.placements.size} heard=${m.lastHeardAt} now=$now"
        }
        m.deletionCause = cause
        m.pendingCommands.clear()
        sendDelete(m, cause)
    }

    private val toDelete = LinkedHashMap<String, DeletionCause>()
    private var deletedAt = core.startedAt - 10.seconds

    private fun sendDelete(m: Machine, cause: DeletionCause) {
        m.deletionSentAt = now
        toDelete[m.id] = cause
    }

    /** A lost rack is one call to the cloud, not one for each machine: its calls are few. */
    fun flush() {
        if (toDelete.isEmpty() || now - deletedAt < DELETE_GAP) return
        deletedAt = now
        val batch = toDelete.entries.take(DeleteMachines.MAX_MACHINES).associate { it.key to it.value }
        batch.keys.forEach(toDelete::remove)
        batch.values.forEach(core.orderCounts::add)
        core.act(DeleteMachines(batch))
    }

    private companion object {
        const val DEAF_MACHINES = 3

        /** Neither a promise about cancelled work nor certain knowledge is behind these. */
        val deferrable =
            setOf(DeletionCause.NEVER_CAME_UP, DeletionCause.UNREACHABLE, DeletionCause.SILENT, DeletionCause.NOT_NEEDED)
        const val MAX_CONTROLS = 6
        const val PROBES = 4
        const val FLEET_PER_PROBE = 100
        val DELETE_GAP = 400.milliseconds

        /** Past the pause between two questions, so that one slow answer is not taken for a lost machine. */
        val UNANSWERED_TWICE = 500.milliseconds

        val OVERDUE_AGAIN = 3.seconds

        /** What a new leader needs to have its stops carried out before it judges. */
        val STOP_TIME = 6.seconds
    }
}
