package glenspool.controller

import glenspool.config.Settings
import glenspool.core.SchedulerConfig
import glenspool.core.Tuning
import glenspool.reconcile.RecoveryTimings

/**
 * The deployment that [settings] describe, as schedulers see it. [logsDetails]: whether each placement and stop
 * is logged.
 */
internal fun schedulerConfig(settings: Settings, tuning: Tuning, logsDetails: Boolean = false): SchedulerConfig {
    val workers = settings.workers
    val storeLimits = settings.storeLimits.safe
    val peerZones = settings.members.map { it.zone }.toSet() - settings.zone
    return SchedulerConfig(
        settings.teams, settings.objectives, settings.zones,
        workers.heartbeatInterval, workers.lease, workers.gangWait, workers.gangPeer, workers.cancellationDeadline,
        settings.cloudLimits.listLag, storeLimits.txnOps, storeLimits.writeRps, storeLimits.valueBytes,
        tuning, peerZones, logsDetails,
    )
}

/** What a recovery needs to know of the deployment. */
internal fun recoverySetting(settings: Settings): RecoveryTimings {
    val workers = settings.workers
    return RecoveryTimings(workers.lease, workers.heartbeatInterval, settings.cloudLimits.listLag)
}
