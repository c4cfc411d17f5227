package glenspool.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Brings about faults: at random, as often as [FaultRates] says, and on request of a test. */
internal class FaultInjector(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val jobs: SimulatedJobs,
    private val fleet: SimulatedFleet,
    private val leader: SimulatedLeader,
) {
    private val faults = context.faults

    /** Draws the faults of one second. Those of machines hit one machine that is up. */
    fun injectRandomFaults() {
        val worker =
            fleet.workers
                .filter { it.isUp }
                .ifEmpty { return }
                .let { it[context.random.nextInt(it.size)] }
        if (context.chance(faults.machineLosses)) fleet.remove(worker.id)
        if (context.chance(faults.machinePartitions)) worker.partitionedUntil = secondsFromNow(5, 40)
        if (context.chance(faults.oneWayPartitions)) worker.unreachableUntil = secondsFromNow(5, 60)
        if (context.chance(faults.heartbeatOutages)) worker.heartbeatsLostUntil = secondsFromNow(5, 60)
        if (context.chance(faults.cancellationBursts)) cancelRunningJobs(8, hang = true)
        if (context.chance(faults.restarts)) worker.restart()
        if (context.chance(faults.leaderIsolations)) isolateLeader()
        if (context.chance(faults.zonePartitions)) partitionZone(worker.zone, (10 + context.random.nextInt(50)).seconds)
        if (context.chance(faults.hangs)) worker.hungUntil = secondsFromNow(2, 20)
        if (context.chance(faults.preemptionNotices) && worker.isSpot && worker.preemptionAt == null) {
            announcePreemption(worker)
        }
        if (context.chance(faults.failovers)) leader.endTermWithRandomDelay()
        if (context.chance(faults.storeOutages)) store.downUntil = secondsFromNow(3, 15)
    }

    /** Draws a moment that is at least [atLeast] seconds away, and less than [spread] seconds more. */
    private fun secondsFromNow(atLeast: Int, spread: Int): Duration {
        val delay = (atLeast + context.random.nextInt(spread)).seconds
        return context.now + delay
    }

    /** The leader is cut off with most of the workers, which are served there until they find the new one. */
    private fun isolateLeader() {
        for (worker in fleet.workers) if (context.chance(0.8)) worker.servedByOtherNodeUntil = secondsFromNow(5, 30)
        leader.endTermWithRandomDelay()
    }

    private fun announcePreemption(worker: SimulatedWorker) {
        worker.preemptionAt = context.now + PREEMPTION_NOTICE
        context.after(PREEMPTION_NOTICE) { fleet.remove(worker.id) }
    }

    /** Cancels up to [most] jobs that have work on machines, and, if [hang], lets some of those machines hang. */
    fun cancelRunningJobs(most: Int, hang: Boolean) {
        val workersOfJobs = fleet.liveTasks().groupBy({ it.key.job }, { it.worker })
        for ((job, workers) in workersOfJobs.entries.shuffled(context.random).take(most)) {
            context.after(context.random.nextInt(200).milliseconds) {
                val hangs = jobs.cancel(job) && hang && context.chance(0.5)
                if (hangs) workers.forEach { it.hungUntil = secondsFromNow(5, 50) }
            }
        }
    }

    /** Each machine that is up meets the fault with a probability of [share], for [time]. */
    fun inject(fault: MachineFault, share: Double, time: Duration) {
        val until = context.now + time
        for (worker in fleet.workers.filter { it.isUp && context.chance(share) }) {
            when (fault) {
                MachineFault.CUT -> worker.partitionedUntil = until
                MachineFault.HANG -> worker.hungUntil = until
                MachineFault.UNREACHABLE -> worker.unreachableUntil = until
                MachineFault.MUTE -> worker.heartbeatsLostUntil = until
                MachineFault.DIE -> fleet.remove(worker.id)
            }
        }
    }

    /** Cuts a zone off; its workers are served by the controller there, which does not lead. */
    fun partitionZone(zone: String, time: Duration) {
        for (worker in fleet.workers.filter { it.zone == zone }) {
            worker.zonePartitionedUntil = context.now + time
            worker.servedByOtherNodeUntil = context.now + time
        }
    }

    private companion object {
        val PREEMPTION_NOTICE = 10.seconds
    }
}
