package glenspool.controller

import glenspool.peer.DifferenceList
import glenspool.peer.RecoveryStatus
import glenspool.reconcile.BreakerState
import glenspool.reconcile.Difference
import glenspool.reconcile.DuplicateTask
import glenspool.reconcile.MissingTask
import glenspool.reconcile.OrphanTask
import glenspool.reconcile.RecoveryPolicy
import glenspool.reconcile.RecoverySnapshot
import glenspool.reconcile.SilentMachine
import glenspool.reconcile.kind
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Converts a recovery's state to the messages that operators' commands use. */
internal object RecoveryReplies {
    /** The largest number of differences that an answer lists one by one, which limits its size. */
    const val MAX_LISTED_DIFFERENCES = 500

    private val listingOrder =
        compareBy<Difference>({ it.kind }, { it.machine }, { it.task?.job.orEmpty() }, { it.task?.task ?: 0 })

    fun recovery(snapshot: RecoverySnapshot, policy: RecoveryPolicy): RecoveryStatus.Recovery {
        val lacking = snapshot.gathering.incompleteGroups(policy.gatherShare)
        return RecoveryStatus.Recovery(
            token = snapshot.token,
            start =
                snapshot.startKind.name
                    .lowercase()
                    .replace('_', '-'),
            phase =
                snapshot.state.phase.name
                    .lowercase(),
            phaseSeconds = seconds(snapshot.now - snapshot.state.since),
            leftSeconds = snapshot.phaseDeadline?.let { seconds(it - snapshot.now) },
            paused = snapshot.isPaused,
            approved = snapshot.isApproved,
            expectedMachines = snapshot.gathering.expected,
            heardMachines = snapshot.gathering.reported,
            lacking = lacking.map { "${it.zone}/${it.type}: ${it.reported} of ${it.expected}" },
            adoptedTasks = snapshot.totals.adopted,
            confirmedTasks = snapshot.totals.confirmed,
            settledShare = snapshot.resolvedShare,
            differences = snapshot.totals.byKind.mapKeys { it.key.label },
            breaker = breaker(snapshot.breaker, policy),
            ordersPerSecond = snapshot.ordersPerSecond,
        )
    }

    /** Says why destructive orders are held back; null if they are not. */
    fun breaker(state: BreakerState, policy: RecoveryPolicy): String? {
        if (!state.isOpen) return null
        return "destructive orders are held: ${state.affectedCount} of ${state.fleetSize} machines would get them, " +
            "more than ${policy.breakerShare}"
    }

    fun differences(snapshot: RecoverySnapshot): DifferenceList {
        val all = snapshot.findings.values.flatMap { it.differences }
        val listed = all.sortedWith(listingOrder).take(MAX_LISTED_DIFFERENCES)
        return DifferenceList(all.size, listed.map { entry(it, snapshot.now) })
    }

    private fun entry(difference: Difference, now: Duration) =
        DifferenceList.Entry(
            difference.kind.label,
            difference.machine,
            difference.task?.let { "${it.job}/${it.task}" },
            detail(difference),
            difference.evidence.source.name
                .lowercase()
                .replace('_', ' '),
            seconds(now - difference.evidence.at),
        )

    private fun detail(difference: Difference): String =
        when (difference) {
            is MissingTask -> "attempt ${difference.attempt}"
            is OrphanTask -> "attempt ${difference.attempt}, ${orphanCause(difference)}"
            is DuplicateTask -> "on ${difference.machines.joinToString(", ")}"
            is SilentMachine -> "${difference.placements} stored places"
            else -> ""
        }

    private fun orphanCause(orphan: OrphanTask) =
        when {
            orphan.isJobRecorded -> "its place is elsewhere"
            else -> "the state service knows no such job"
        }

    private fun seconds(span: Duration): Double = span.toDouble(DurationUnit.SECONDS)
}
