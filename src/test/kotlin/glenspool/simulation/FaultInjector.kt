package glenspool.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Injects faults at random, with the rates of [FaultRates], and on request of a test. */
internal class FaultInjector(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val jobs: SimulatedJobs,
    private val fleet: SimulatedFleet,
    private val leader: SimulatedLeader,
) {
    private val faults = context.faults

    /** Draws the faults of one second. Faults of machines affect one random machine that is up. */
    fun injectRandomFaults() {
        val worker =
            fleet.workers
                .filter { it.isUp }
                .ifEmpty { return }
                .let { it[context.random.nextInt(it.size)] }
        if (context.chance(faults.machineLosses)) fleet.remove(worker.id)
        if (context.chance(faults.machinePartitions)) worker.partitionedUntil = randomTimeFromNow(5, 40)
        if (context.chance(faults.oneWayPartitions)) worker.unreachableUntil = randomTimeFromNow(5, 60)
        if (context.chance(faults.heartbeatOutages)) worker.heartbeatsLostUntil = randomTimeFromNow(5, 60)
        if (context.chance(faults.cancellationBursts)) cancelRunningJobs(8, hang = true)
        if (context.chance(faults.restarts)) worker.restart()
        if (context.chance(faults.leaderIsolations)) isolateLeader()
        if (context.chance(faults.zonePartitions)) partitionZone(worker.zone, (10 + context.random.nextInt(50)).seconds)
        if (context.chance(faults.hangs)) worker.hungUntil = randomTimeFromNow(2, 20)
        if (context.chance(faults.preemptionNotices) && worker.isSpot && worker.preemptionAt == null) preempt(worker)
        if (faults.taskFailures > 0.0 && context.chance(faults.taskFailures)) worker.failRandomTask(context.random)
        if (context.chance(faults.failovers)) leader.endTermWithRandomDelay()
        if (context.chance(faults.storeOutages)) store.downUntil = randomTimeFromNow(3, 15)
    }

    /** Draws a time that is [minSeconds] to less than [minSeconds] plus [rangeSeconds] seconds in the future. */
    private fun randomTimeFromNow(minSeconds: Int, rangeSeconds: Int): Duration {
        val delay = (minSeconds + context.random.nextInt(rangeSeconds)).seconds
        return context.now + delay
    }

    /** Isolates the leader with most of the workers. It serves these workers until they contact the new leader. */
    private fun isolateLeader() {
        for (worker in fleet.workers) if (context.chance(0.8)) worker.servedByOtherNodeUntil = randomTimeFromNow(5, 30)
        leader.endTermWithRandomDelay()
    }

    private fun preempt(worker: SimulatedWorker) {
        worker.preemptionAt = context.now + PREEMPTION_NOTICE
        context.after(PREEMPTION_NOTICE) { fleet.remove(worker.id) }
    }

    /** Cancels up to [maxJobs] jobs that have tasks on machines. If [hang], some of these machines hang. */
    fun cancelRunningJobs(maxJobs: Int, hang: Boolean) {
        val workersOfJobs = fleet.liveTasks().groupBy({ it.key.job }, { it.worker })
        for ((job, workers) in workersOfJobs.entries.shuffled(context.random).take(maxJobs)) {
            context.after(context.random.nextInt(200).milliseconds) {
                val hangs = jobs.cancel(job) && hang && context.chance(0.5)
                if (hangs) workers.forEach { it.hungUntil = randomTimeFromNow(5, 50) }
            }
        }
    }

    /** Injects the fault into each machine that is up with probability [share], for [time]. */
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

    /** Partitions a zone. Its workers are served by the controller in the zone, which is not the leader. */
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
