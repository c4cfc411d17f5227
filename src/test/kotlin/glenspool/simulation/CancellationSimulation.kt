package glenspool.simulation

import glenspool.config.WorkerSettings
import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.Cancellations
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Three controllers' knowledge of cancellations and their workers' leases in simulated time: real [Cancellations] and
 * lease decisions, with the key-value store, the messages between controllers, the workers and the users simulated.
 * Every rule about cancelled work is checked after every event.
 */
class CancellationSimulation(
    seed: Long,
    val settings: WorkerSettings = SETTINGS,
    /** Share of the messages between controllers, and of the answers to them, that are lost. */
    internal val messageLoss: Double = 0.0,
    workers: Int = 12,
) {
    internal val random = Random(seed)
    internal val events = EventQueue()
    val now: Duration get() = events.now

    /** Stored cancellations by job. */
    internal val stored = LinkedHashMap<String, Cancellation>()

    /** Until then the store answers nobody. */
    var storeDownUntil = Duration.ZERO

    /** Until then the store answers a node that reads only after seconds. */
    var storeSlowUntil = Duration.ZERO

    /** When a cancellation was first confirmed to its user. */
    val confirmed = LinkedHashMap<String, Duration>()
    val violations = ArrayList<String>()

    /** Jobs that ended because the lease of their worker expired. */
    val killedJobs = ArrayList<String>()

    /** How often a user was asked to repeat a cancellation later. */
    var postponed = 0
        internal set

    val members = listOf("a", "b", "c").map { CancellationNode(this, it) }
    val workers = List(workers) { LeaseHolder(this, "w$it", it % members.size) }

    init {
        members.forEach { it.start() }
        this.workers.forEach { it.scheduleHeartbeat() }
    }

    internal fun after(delay: Duration, body: () -> Unit) = events.after(delay, body)

    /** Queues an event for a moment. */
    fun at(moment: Duration, body: () -> Unit) = events.at(moment, body)

    internal fun chance(probability: Double) = random.nextDouble() < probability

    /** Draws the time that a message takes one way. */
    internal fun networkDelay() = (1 + random.nextInt(40)).milliseconds

    /** Draws how much faster or slower than true time a clock runs. */
    internal fun clockDrift() = 1 + (random.nextDouble() - 0.5) * 0.001

    fun run(until: Duration) {
        while (events.runNext(until)) checkRules()
        events.advanceTo(until)
    }

    private fun checkRules() {
        for (worker in workers) {
            worker.expireLease()
            worker.jobs.forEach { checkCancelled(worker, it) }
        }
        members.forEach(::checkClaim)
    }

    private fun checkCancelled(worker: LeaseHolder, job: String) {
        val confirmedAt = confirmed[job] ?: return
        if (now - confirmedAt > settings.cancellationDeadline) {
            violations += "$now ran_cancelled $job on ${worker.name}, confirmed at $confirmedAt"
        }
    }

    /** A node knows all that was confirmed up to the moment it claims, except what must have ended long ago. */
    private fun checkClaim(node: CancellationNode) {
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
