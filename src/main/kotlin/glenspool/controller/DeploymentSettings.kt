package glenspool.controller

import glenspool.config.Settings
import glenspool.core.SchedulerConfig
import glenspool.core.Tuning
import glenspool.reconcile.RecoveryTimings

/**
 * Returns the scheduler's configuration for the deployment that [settings] describe. [logsDetails]: whether each
 * placement and stop is logged.
 */
internal fun schedulerConfig(settings: Settings, tuning: Tuning, logsDetails: Boolean = false): SchedulerConfig {
    val workers = settings.workers
    val storeLimits = settings.storeLimits.effective
    val peerZones = settings.members.map { it.zone }.toSet() - settings.zone
    return SchedulerConfig(
        settings.teams, settings.objectives, settings.zones,
        workers.heartbeatInterval, workers.lease, workers.gangWait, workers.gangPeer, workers.cancellationDeadline,
        settings.cloudLimits.listLag, storeLimits.txnOps, storeLimits.writeRps, storeLimits.valueBytes,
        tuning, peerZones, logsDetails,
    )
}

/** Returns the parameters of the deployment that a recovery depends on. */
internal fun recoveryTimings(settings: Settings): RecoveryTimings {
    val workers = settings.workers
    return RecoveryTimings(workers.lease, workers.heartbeatInterval, settings.cloudLimits.listLag)
}
