package glenspool.soak

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Random troubles, of which two or three overlap at any time. All of them follow from the seed. */
internal class SoakTroubles(private val cluster: SoakCluster, private val users: SoakUsers) {
    private val settings = cluster.settings
    private val history = cluster.history
    private val random = Random(settings.seed + 2)

    /** What happens at a moment of the run. */
    private class Step(val at: Duration, val name: String, val action: () -> Unit)

    private val steps = ArrayList<Step>()

    /** Plans the troubles between [from] and the end of the trouble time, and carries them out. */
    fun play(from: Duration) {
        val end = from + settings.troubleTime
        hangWithoutLeader(from + seconds(0, LATEST_MEETING_SECONDS))
        var at = from
        while (at < end) {
            plan(at, end)
            at += random.nextLong(MIN_GAP_MILLIS, MAX_GAP_MILLIS).milliseconds
        }
        for (step in steps.sortedBy { it.at }) {
            val wait = step.at - history.now
            if (wait > Duration.ZERO) Thread.sleep(wait.inWholeMilliseconds)
            history.event("trouble: ${step.name}")
            step.action()
        }
    }

    private fun step(at: Duration, name: String, action: () -> Unit) = steps.add(Step(at, name, action))

    private fun plan(at: Duration, end: Duration) {
        val length = minOf(seconds(3, 30), end - at)
        val node = SoakSettings.NODES.random(random)
        val count = settings.workers * random.nextInt(MIN_PERCENT, MAX_PERCENT) / 100
        val seed = random.nextLong()
        when (random.nextInt(TROUBLES)) {
            0, 1 -> hang(at, count, length, seed)
            2 ->
                step(at, "$count machines cut off for $length") {
                    cluster.fleet.troubleWorkers(count, Random(seed)) { it.cutUntil = at + length }
                }
            3 ->
                step(at, "$count machines mute for $length") {
                    cluster.fleet.troubleWorkers(count, Random(seed)) { it.muteUntil = at + length }
                }
            4, 5 ->
                step(at, "store out for $length") {
                    cluster.store.downUntil =
                        maxOf(cluster.store.downUntil, at + length)
                }
            6 -> step(at, "store refuses $node for $length") { cluster.store.refusedUntil[node] = at + length }
            7 -> kill(at, node, seconds(0, 8))
            8 -> pause(at, node, seconds(1, 10))
            9 -> killLeaders(at, end)
            10 -> SoakSettings.NODES.forEach { kill(at, it, seconds(0, 6)) }
            11 -> slowCloud(at, minOf(length, settings.cancellationDeadline * MAX_CLOUD_TROUBLE_SHARE))
            12 -> loseTransactions(at, minOf(length, 10.seconds))
        }
    }

    private fun seconds(from: Int, to: Int): Duration = random.nextLong(from * 1000L, to * 1000L).milliseconds

    /** Machines hang, and users cancel many jobs at the same time. */
    private fun hang(at: Duration, count: Int, length: Duration, seed: Long) {
        step(at, "$count machines hang for $length") {
            cluster.fleet.troubleWorkers(count, Random(seed)) { it.hangsUntil = maxOf(it.hangsUntil, at + length) }
        }
        step(at + 200.milliseconds, "users cancel many jobs") { users.cancelMany(settings.workers / 4) }
    }

    /**
     * Machines hang for longer than the deadline of the cancellations that come then, and the store goes out before the
     * leader deletes these machines, so that only controllers without a leader can end the work.
     */
    private fun hangWithoutLeader(at: Duration) {
        val deadline = settings.cancellationDeadline
        val count = settings.workers * random.nextInt(MIN_PERCENT, MAX_PERCENT) / 100
        hang(at, count, deadline * random.nextDouble(1.1, 1.6), random.nextLong())
        // The leader deletes a machine that is silent for 0.3 of a lease.
        val outAt = at + settings.lease * random.nextDouble(0.1, 0.3)
        val outUntil = at + deadline * random.nextDouble(1.05, 1.4)
        step(outAt, "store out for ${outUntil - outAt}") { cluster.store.downUntil = outUntil }
    }

    private fun kill(at: Duration, node: String, downTime: Duration) {
        step(at, "$node ends") { cluster.controllers.getValue(node).kill() }
        step(at + downTime, "$node is back") { cluster.controllers.getValue(node).start() }
    }

    private fun pause(at: Duration, node: String, length: Duration) {
        step(at, "$node stands still for $length") { cluster.controllers.getValue(node).pause() }
        step(at + length, "$node goes on") { cluster.controllers.getValue(node).resume() }
    }

    private fun killLeaders(at: Duration, end: Duration) {
        var next = at
        repeat(LEADERS_IN_SERIES) {
            if (next >= end) return
            step(next, "the leader ends") {
                val leader = cluster.store.leader() ?: return@step
                cluster.controllers.getValue(leader).kill()
                cluster.controllers.getValue(leader).start()
            }
            next += seconds(3, 8)
        }
    }

    private fun slowCloud(at: Duration, length: Duration) {
        val refuses = random.nextBoolean()
        step(at, "cloud ${if (refuses) "refuses" else "is slow"} for $length") {
            if (refuses) cluster.fleet.cloudRefusesUntil = at + length else cluster.fleet.cloudLatency = 2.seconds
        }
        step(at + length, "cloud is well") { cluster.fleet.cloudLatency = 100.milliseconds }
    }

    private fun loseTransactions(at: Duration, length: Duration) {
        step(at, "answers of the store are lost or late for $length") {
            cluster.store.lostShare = 0.2
            cluster.store.latency = 20.milliseconds
        }
        step(at + length, "store answers as usual") {
            cluster.store.lostShare = 0.0
            cluster.store.latency = Duration.ZERO
        }
    }

    private companion object {
        const val TROUBLES = 13
        const val LATEST_MEETING_SECONDS = 10
        const val MIN_GAP_MILLIS = 1_500L
        const val MAX_GAP_MILLIS = 7_000L
        const val MIN_PERCENT = 5
        const val MAX_PERCENT = 30
        const val LEADERS_IN_SERIES = 5

        /** docs/safety.md, known gaps: cancelled work on hanging machines needs the cloud within its deadline. */
        const val MAX_CLOUD_TROUBLE_SHARE = 0.2
    }
}
