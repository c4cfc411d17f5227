package glenspool.controller

import glenspool.config.Member
import glenspool.core.cluster.Acknowledgement
import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.CancellationUpdate
import glenspool.core.cluster.Cancellations
import glenspool.logging.loggerOf
import glenspool.peer.CancellationMessage
import glenspool.peer.PeerClient
import glenspool.wire.MalformedMessage
import glenspool.wire.StoreWire
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Tells the other controllers of cancellations, and asks them for theirs: at once when there is one, and by and by. */
class CancellationExchange(
    private val node: String,
    private val cancellations: Cancellations,
    private val peers: PeerClient,
    private val uptime: () -> Duration,
    /** Whether the state service can't tell this node. */
    private val stale: () -> Boolean,
    private val learnt: (List<Cancellation>) -> Unit,
) {
    private val lock = ReentrantLock()

    /** There is something to tell. */
    private val untold = lock.newCondition()

    /** Somebody was told. Not the same: each answer would make the duties ask again, for ever. */
    private val told = lock.newCondition()

    /** The state service told of these. */
    fun stored(changes: List<StoreWire.Change>) {
        var any = false
        for (c in changes) {
            try {
                any = c.cancellation()?.let(cancellations::add) ?: false || any
            } catch (e: MalformedMessage) {
                log.error("stored record {} is not readable", c.key, e)
            }
        }
        if (any) lock.withLock { untold.signalAll() }
    }

    /** The duty that keeps up with one other controller. */
    fun run(member: Member) {
        while (true) {
            if (!once(member)) {
                // It is tried again after a pause, whatever there is to tell.
                Thread.sleep(RETRY.inWholeMilliseconds)
                continue
            }
            lock.withLock {
                if (!cancellations.lacks(member.name)) {
                    untold
                        .await((if (stale()) RETRY else EVERY).inWholeMilliseconds, TimeUnit.MILLISECONDS)
                }
            }
        }
    }

    private fun once(member: Member): Boolean {
        val asked = uptime()
        return when (val r = peers.exchange(member, message(cancellations.updateFor(member.name)))) {
            is PeerClient.Exchange.Answered -> {
                take(cancellations.replied(member.name, update(r.message), asked))
                lock.withLock { told.signalAll() }
                true
            }
            PeerClient.Exchange.Unsupported -> {
                cancellations.markUnsupported(member.name)
                lock.withLock { told.signalAll() }
                false
            }
            PeerClient.Exchange.None -> false
        }
    }

    /** What another controller says by itself, and the answer to it; null if it is none of ours. */
    fun answer(m: CancellationMessage): CancellationMessage? {
        val (answer, fresh) = cancellations.reply(m.node, update(m)) ?: return null
        take(fresh)
        return message(answer)
    }

    private fun take(fresh: List<Cancellation>) {
        if (fresh.isEmpty()) return
        log.info("cancellations heard of jobs={}", fresh.map { it.job })
        learnt(fresh)
        // The others may not have heard of them: who told this node may end before it has told all.
        lock.withLock { untold.signalAll() }
    }

    /** Waits a moment until a user may be told that the job is cancelled; false: not yet. */
    fun confirm(job: String): Boolean {
        val begun = TimeSource.Monotonic.markNow()
        while (true) {
            lock.withLock {
                if (cancellations.mayConfirm(job)) return true
                val left = PATIENCE - begun.elapsedNow()
                if (left <= Duration.ZERO) return false
                told.await(left.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
            }
        }
    }

    private fun message(n: CancellationUpdate) =
        CancellationMessage(
            node, n.boot, n.uptime.inWholeMilliseconds,
            n.entries.map {
                CancellationMessage
                    .Entry(it.job, it.at.inWholeMilliseconds, it.version)
            },
            n.base, n.upTo, n.whole,
            // Rounded to the safe side.
            n.completeAge?.let { it.inWholeMilliseconds + 1 }, n.contactAge.inWholeMilliseconds + 1, n.acknowledgement?.boot,
            n.acknowledgement?.upTo ?: 0,
        )

    private fun update(m: CancellationMessage) =
        CancellationUpdate(
            m.boot, m.uptime.milliseconds,
            m.entries.map {
                Cancellation(it.job, it.at.milliseconds, it.version)
            },
            m.base, m.upTo, m.whole,
            m.completeAge?.milliseconds, m.contactAge.milliseconds, m.heardBoot?.let { Acknowledgement(it, m.heardUpTo) },
        )

    private companion object {
        val log = loggerOf(CancellationExchange::class.java)

        /** While the state service tells everybody, the exchange only has to show that the other one is there. */
        val EVERY = 2.seconds
        val RETRY = 500.milliseconds
        val PATIENCE = 600.milliseconds
    }
}
