package glenspool.controller

import glenspool.logging.loggerOf
import glenspool.reconcile.RecoveryNotice
import glenspool.reconcile.RecoveryPolicy

/** Logs the notices of a recovery's engine. */
internal object RecoveryNoticeLog {
    private val log = loggerOf(RecoveryManager::class.java)

    fun log(notice: RecoveryNotice, policy: RecoveryPolicy) {
        when (notice) {
            is RecoveryNotice.PhaseEntered -> logPhase(notice)
            is RecoveryNotice.ShareResolved ->
                log
                    .info("recovery settled share={} after={}", notice.share, notice.after)
            is RecoveryNotice.BreakerOpened ->
                log.warn("recovery: {}", RecoveryReplies.breaker(notice.state, policy))
            is RecoveryNotice.BreakerReleased -> {
                val state = notice.state
                log
                    .info("recovery: destructive orders go on cause={} machines={}", state.release, state.affectedCount)
            }
        }
    }

    private fun logPhase(notice: RecoveryNotice.PhaseEntered) {
        val snapshot = notice.snapshot
        val gathering = snapshot.gathering
        log.info(
            "recovery phase={} cause={} start={} heard={} expected={} differences={} settled={} until={}",
            notice.state.phase, notice.state.end, snapshot.startKind, gathering.reported, gathering.expected,
            snapshot.totals.byKind, snapshot.resolvedShare, snapshot.phaseDeadline,
        )
    }
}
