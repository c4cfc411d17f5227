package glenspool.simulation

import glenspool.config.WorkerSettings
import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.Cancellations
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates how three controllers exchange cancellations and renew the leases of their workers. [Cancellations] and the
 * lease decisions are the production code. The key-value store, the messages between controllers, the workers and the
 * users are simulated. Every rule about cancelled work is checked after every event.
 */
class CancellationSimulation(
    seed: Long,
    val settings: WorkerSettings = SETTINGS,
    /** The share of the messages between controllers, and of the replies to them, that are lost. */
    internal val messageLoss: Double = 0.0,
    workers: Int = 12,
) {
    internal val random = Random(seed)
    internal val events = EventQueue()
    val now: Duration get() = events.now

    /** The stored cancellations by job. */
    internal val stored = LinkedHashMap<String, Cancellation>()

    /** The simulated time until which the store is down. */
    var storeDownUntil = Duration.ZERO

    /** The simulated time until which the store answers reads only after seconds. */
    var storeSlowUntil = Duration.ZERO

    /** Whether messages that a partition held back, or that were lost, may be delivered up to a minute later. */
    var deliversLateMessages = true

    /** The time at which the cancellation of a job was first confirmed to its user, by job. */
    val confirmed = LinkedHashMap<String, Duration>()
    val violations = ArrayList<String>()

    /** Jobs that ended because the lease of their worker expired. */
    val killedJobs = ArrayList<String>()

    /** The number of times that a user was asked to retry a cancellation later. */
    var postponed = 0
        internal set

    val members = listOf("a", "b", "c").map { CancellationNode(this, it) }
    val workers = List(workers) { LeaseHolder(this, "w$it", it % members.size) }

    init {
        members.forEach { it.start() }
        this.workers.forEach { it.scheduleHeartbeat() }
    }

    internal fun after(delay: Duration, body: () -> Unit) = events.after(delay, body)

    /** Schedules an event for the given simulated time. */
    fun at(moment: Duration, body: () -> Unit) = events.at(moment, body)

    internal fun chance(probability: Double) = random.nextDouble() < probability

    /** Draws the one-way delay of a message. */
    internal fun networkDelay() = (1 + random.nextInt(40)).milliseconds

    /** Draws the rate of a clock relative to true time. */
    internal fun clockDrift() = 1 + (random.nextDouble() - 0.5) * 0.001

    fun run(until: Duration) {
        while (events.runNext(until)) checkRules()
        events.advanceTo(until)
    }

    private fun checkRules() {
        for (worker in workers) {
            worker.expireLease()
            worker.jobs.forEach { checkCancelledJob(worker, it) }
        }
        members.forEach(::checkCompletenessClaim)
    }

    private fun checkCancelledJob(worker: LeaseHolder, job: String) {
        val confirmedAt = confirmed[job] ?: return
        if (now - confirmedAt > settings.cancellationDeadline) {
            violations += "$now ran_cancelled $job on ${worker.name}, confirmed at $confirmedAt"
        }
    }

    /**
     * Checks that a node knows every cancellation confirmed up to the moment until which it claims to know all of them.
     * Cancellations whose work must have ended long ago are exempt.
     */
    private fun checkCompletenessClaim(node: CancellationNode) {
        if (!node.isUp || node.isOldVersion) return
        val complete = node.cancellations.completeUpTo() ?: return
        for ((job, confirmedAt) in confirmed) {
            if (now - confirmedAt > settings.cancellationDeadline * 2) continue
            if (node.clockAt(confirmedAt) >= complete || node.cancellations.contains(job)) continue
            violations +=
                "$now ${node.name} does not know $job, confirmed at $confirmedAt, and claims all up to $complete"
        }
    }

    companion object {
        val SETTINGS = WorkerSettings(4.seconds, 24.seconds, 30.seconds, 8.seconds, 49.seconds)

        /** A deployment whose workers send heartbeats more often, and whose leases are shorter. */
        val SHORT_INTERVALS = WorkerSettings(1.5.seconds, 14.seconds, 30.seconds, 8.seconds, 44.seconds)
    }
}
