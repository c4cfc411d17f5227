package glenspool.simulation

import glenspool.api.LeaseRenewalPolicy
import glenspool.config.WorkerSettings
import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.CancellationUpdate
import glenspool.core.cluster.Cancellations
import java.util.PriorityQueue
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Three controllers' knowledge of cancellations and their workers' leases in simulated time: real [Cancellations] and
 * [LeaseRenewalPolicy], with the state service, the messages between them, the workers and the users as stand-ins.
 * Every rule about cancelled work is checked at every step.
 */
class CancellationSimulation(seed: Long, val settings: WorkerSettings = SETTINGS, private val loss: Double = 0.0, workers: Int = 12) {
    private val random = Random(seed)

    private class Timed(val at: Duration, val order: Long, val body: () -> Unit)

    private val queue = PriorityQueue(compareBy<Timed> { it.at }.thenBy { it.order })
    private var order = 0L
    var now = Duration.ZERO
        private set

    /** Stored cancellations with their times. */
    private val stored = LinkedHashMap<String, Cancellation>()
    var stateOutUntil = Duration.ZERO

    /** Until then the state service answers a node that reads only after seconds. */
    var stateSlowUntil = Duration.ZERO

    /** When users were first told. */
    val confirmed = LinkedHashMap<String, Duration>()
    val violations = ArrayList<String>()
    val killed = ArrayList<String>()

    /** How often a user was asked to come back with a cancellation. */
    var postponed = 0
        private set

    inner class Node(val name: String) {
        val drift = 1 + (random.nextDouble() - 0.5) * 0.001
        var began = now
        var lives = 0
        var downUntil = Duration.ZERO
        var refusedUntil = Duration.ZERO
        var peersCutUntil = Duration.ZERO

        /** Of the version in production: it neither hears nor tells, and keeps every lease. */
        var old = false

        fun clock() = (now - began) * drift

        lateinit var cancellations: Cancellations
        lateinit var leaseRenewal: LeaseRenewalPolicy

        /** What it has read of the state service, which is all that one of the old version knows. */
        val read = HashSet<String>()
        var readAt: Duration? = null
        val up get() = now >= downUntil
        val hasState get() = up && now >= stateOutUntil && now >= refusedUntil

        fun begin() {
            began = now
            lives++
            read.clear()
            readAt = null
            cancellations =
                Cancellations("$name-$lives", members.map { it.name } - name, settings.cancellationDeadline * 4, ::clock) { now }
            leaseRenewal = LeaseRenewalPolicy(settings, 2, ::clock)
            val life = lives
            after(random.nextInt(500).milliseconds) { look(life) }
            for (m in members) if (m !== this) after(random.nextInt(300).milliseconds) { exchange(m, life) }
        }

        private fun look(life: Int) {
            if (life != lives) return
            after((100 + random.nextInt(300)).milliseconds) { look(life) }
            if (!hasState) return
            val sent = clock()
            after(delay()) {
                if (life != lives) return@after
                val all = stored.values.toList()
                after(delay() + (if (now < stateSlowUntil) (1 + random.nextInt(4)).seconds else Duration.ZERO)) {
                    if (life != lives) return@after
                    readAt = now
                    read.addAll(all.map { it.job })
                    all.forEach { cancellations.add(it) }
                    cancellations.storeRead(sent)
                }
            }
        }

        private fun exchange(m: Node, life: Int) {
            if (life != lives) return
            after(
                if (readAt.let {
                        it == null || now - it > 2.5.seconds
                    }
                ) {
                    500.milliseconds
                } else {
                    2.seconds
                },
            ) { exchange(m, life) }
            send(m)
        }

        fun send(m: Node) {
            if (old) return
            val life = lives
            val asked = clock()
            val update = cancellations.updateFor(m.name)
            val lost = chance(loss)
            // A cut may hold a message back and deliver it when nobody waits for its answer any more.
            if (now < peersCutUntil || now < m.peersCutUntil || lost) {
                if (chance(0.5)) after(random.nextInt(60).seconds) { m.hear(this, update) }
                return
            }
            after(delay()) {
                val answer = m.hear(this, update)
                after(delay()) {
                    if (life != lives || chance(loss) || now < peersCutUntil) return@after
                    if (m.old && m.up) cancellations.markUnsupported(m.name)
                    if (answer != null) {
                        cancellations.replied(m.name, answer, asked)
                        // As the duty does: what a message had no room for goes at once.
                        if (cancellations.lacks(m.name)) send(m)
                    }
                }
            }
        }

        private fun hear(from: Node, update: CancellationUpdate): CancellationUpdate? =
            if (!up ||
                old
            ) {
                null
            } else {
                cancellations.reply(from.name, update)?.update
            }

        val isolated get() = now < peersCutUntil && !hasState

        fun knows(job: String) = if (old) job in read else cancellations.knows(job)

        /** Whether it answers a worker of which it knows no leader. */
        fun renewsLease(w: Worker) = old || leaseRenewal.renewsLease(w.name, cancellations.completeUpTo(), isolated)

        /** As the users' requests do it: store, read back, tell the others, answer. */
        fun cancel(job: String) {
            if (!hasState) return
            val c = stored.getOrPut(job) { Cancellation(job, now, stored.size + 1L) }
            read.add(job)
            cancellations.add(c)
            if (!old) members.forEach { if (it !== this) send(it) }
            val life = lives
            after(600.milliseconds) {
                if (life != lives || !up) return@after
                if (old || cancellations.mayConfirm(job)) confirmed.putIfAbsent(job, now) else postponed++
            }
        }

        fun stop(span: Duration) {
            downUntil = now + span
            lives++
            val life = lives
            after(span) { if (life == lives) begin() }
        }
    }

    inner class Worker(val name: String, var home: Int) {
        val drift = 1 + (random.nextDouble() - 0.5) * 0.001
        val jobs = HashSet<String>()
        var answeredAt = Duration.ZERO

        fun live() {
            after(settings.heartbeatInterval * (0.75 + random.nextDouble() / 2)) { heartbeat() }
        }

        private fun heartbeat() {
            live()
            expire()
            val n = members[home]
            val sent = now
            if (!n.up || !n.renewsLease(this)) {
                // Refused, or nobody there: the next node, a second later.
                home = (home + 1) % members.size
                return
            }
            n.leaseRenewal.recordAnswer(name)
            answeredAt = sent
            jobs.removeIf { n.knows(it) }
        }

        fun expire() {
            if ((now - answeredAt) * drift <= settings.lease) return
            killed.addAll(jobs)
            jobs.clear()
            answeredAt = now
        }
    }

    val members = listOf("a", "b", "c").map { Node(it) }
    val workers = List(workers) { Worker("w$it", it % 3) }

    init {
        members.forEach { it.begin() }
        this.workers.forEach { it.live() }
    }

    private fun after(d: Duration, body: () -> Unit) {
        queue.add(Timed(now + d, ++order, body))
    }

    fun at(t: Duration, body: () -> Unit) {
        queue.add(Timed(t, ++order, body))
    }

    fun chance(p: Double) = random.nextDouble() < p

    private fun delay() = (1 + random.nextInt(40)).milliseconds

    fun run(until: Duration) {
        while (true) {
            val next = queue.peek()
            if (next == null || next.at > until) break
            queue.poll()
            now = maxOf(now, next.at)
            next.body()
            check()
        }
        now = until
    }

    private fun check() {
        for (w in workers) {
            w.expire()
            for (j in w.jobs) {
                confirmed[j]?.let {
                    if (now - it >
                        settings.cancellationDeadline
                    ) {
                        violations += "$now ran_cancelled $j on ${w.name}, confirmed at $it"
                    }
                }
            }
        }
        for (n in members) {
            if (!n.up || n.old) continue
            val complete = n.cancellations.completeUpTo() ?: continue
            // What the node claims: it knows all that was confirmed up to then, except what has to be gone long since.
            for ((job, told) in confirmed) {
                if (now - told > settings.cancellationDeadline * 2) continue
                if ((told - n.began) * n.drift >= complete || n.cancellations.knows(job)) continue
                violations += "$now ${n.name} does not know $job, confirmed at $told, and claims all up to $complete"
            }
        }
    }

    companion object {
        val SETTINGS = WorkerSettings(4.seconds, 24.seconds, 30.seconds, 8.seconds, 49.seconds)
    }
}
