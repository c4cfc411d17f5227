package glenspool.controller

import glenspool.config.Member
import glenspool.core.cluster.Cancellation
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

/**
 * Exchanges known cancellations with the other controllers: at once when there is a new one, and periodically. Safe for
 * several threads.
 */
class CancellationExchange(
    private val node: String,
    private val cancellations: Cancellations,
    private val peers: PeerClient,
    private val uptime: () -> Duration,
    /** Whether the key-value store does not keep this node up to date. */
    private val isStale: () -> Boolean,
    /** Gets the cancellations that another controller reported and this one did not know. */
    private val learned: (List<Cancellation>) -> Unit,
) {
    private val lock = ReentrantLock()

    /** There is something to send. */
    private val hasNews = lock.newCondition()

    /** A member answered. Not the same condition: each answer would make the threads send again, for ever. */
    private val wasAnswered = lock.newCondition()

    /** The key-value store reported these changes. */
    fun storeChanged(changes: List<StoreWire.Change>) {
        val newCount = changes.count(::addStored)
        if (newCount > 0) lock.withLock { hasNews.signalAll() }
    }

    private fun addStored(change: StoreWire.Change): Boolean =
        try {
            change.cancellation()?.let(cancellations::add) ?: false
        } catch (e: MalformedMessage) {
            log.error("stored record {} is not readable", change.key, e)
            false
        }

    /** The service thread that keeps one other controller up to date. */
    fun run(member: Member) {
        while (true) {
            if (!exchangeWith(member)) {
                // Tried again after a pause, even if there is something to send.
                Thread.sleep(RETRY.inWholeMilliseconds)
                continue
            }
            lock.withLock {
                if (!cancellations.needsUpdate(member.name)) {
                    val pause = if (isStale()) RETRY else PERIOD
                    hasNews.await(pause.inWholeMilliseconds, TimeUnit.MILLISECONDS)
                }
            }
        }
    }

    /** False: the member did not answer, or is of a version that does not know the exchange. */
    private fun exchangeWith(member: Member): Boolean {
        val sent = uptime()
        val update = cancellations.updateFor(member.name)
        return when (val result = peers.exchange(member, CancellationMessages.encode(node, update))) {
            is PeerClient.Exchange.Answered -> {
                val answer = CancellationMessages.decode(result.message)
                takeIn(cancellations.applyReply(member.name, answer, sent))
                lock.withLock { wasAnswered.signalAll() }
                true
            }
            PeerClient.Exchange.Unsupported -> {
                cancellations.markUnsupported(member.name)
                lock.withLock { wasAnswered.signalAll() }
                false
            }
            PeerClient.Exchange.None -> false
        }
    }

    /** Takes in what another controller sent, and answers it; null if it is no member. */
    fun answer(message: CancellationMessage): CancellationMessage? {
        val (answer, fresh) =
            cancellations.reply(message.node, CancellationMessages.decode(message)) ?: return null
        takeIn(fresh)
        return CancellationMessages.encode(node, answer)
    }

    private fun takeIn(fresh: List<Cancellation>) {
        if (fresh.isEmpty()) return
        log.info("cancellations learned from another controller jobs={}", fresh.map { it.job })
        learned(fresh)
        // The others may not know them: the sender may end before it has reached all.
        lock.withLock { hasNews.signalAll() }
    }

    /** Waits a moment until a user may get the answer that the job is cancelled; false: not yet. */
    fun awaitConfirmable(job: String): Boolean {
        val begun = TimeSource.Monotonic.markNow()
        while (true) {
            lock.withLock {
                if (cancellations.mayConfirm(job)) return true
                val left = PATIENCE - begun.elapsedNow()
                if (left <= Duration.ZERO) return false
                wasAnswered.await(left.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
            }
        }
    }

    private companion object {
        val log = loggerOf(CancellationExchange::class.java)

        /** While the key-value store reports to everybody, the exchange only has to show that the other one is up. */
        val PERIOD = 2.seconds
        val RETRY = 500.milliseconds

        /** How long a user's request waits for the other controllers. */
        val PATIENCE = 600.milliseconds
    }
}
