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
 * Exchanges known cancellations with the other controllers, immediately after a new one and otherwise periodically.
 * Thread-safe.
 */
class CancellationExchange(
    private val node: String,
    private val cancellations: Cancellations,
    private val peers: PeerClient,
    private val uptime: () -> Duration,
    /** Whether the key-value store does not keep this node up to date at present. */
    private val isRefreshOverdue: () -> Boolean,
    /** Called with the cancellations that another controller reported and this one did not know. */
    private val onNewCancellations: (List<Cancellation>) -> Unit,
) {
    private val lock = ReentrantLock()

    /** Signalled when there is something new to send. */
    private val updateAvailable = lock.newCondition()

    /**
     * Signalled when a member has answered. This is not the same condition as [updateAvailable], because each answer
     * would then make the exchange threads send again, in an endless loop.
     */
    private val answerReceived = lock.newCondition()

    /** Adds the cancellations among the [changes] that the key-value store reported. */
    fun storeChanged(changes: List<StoreWire.Change>) {
        val newCount = changes.count(::addStored)
        if (newCount > 0) lock.withLock { updateAvailable.signalAll() }
    }

    private fun addStored(change: StoreWire.Change): Boolean =
        try {
            change.cancellation()?.let(cancellations::add) ?: false
        } catch (e: MalformedMessage) {
            log.error("stored cancellation {} could not be decoded, not sent to other controllers", change.key, e)
            false
        }

    /** The body of the service thread that keeps the controller [member] up to date. */
    fun run(member: Member) {
        while (true) {
            if (!exchangeWith(member)) {
                // Retried only after the delay, even if there is something new to send.
                Thread.sleep(RETRY_INTERVAL.inWholeMilliseconds)
                continue
            }
            lock.withLock {
                if (!cancellations.needsUpdate(member.name)) {
                    val interval = if (isRefreshOverdue()) RETRY_INTERVAL else EXCHANGE_INTERVAL
                    updateAvailable.await(interval.inWholeMilliseconds, TimeUnit.MILLISECONDS)
                }
            }
        }
    }

    /** Returns false if the member did not answer, or if its version does not support the exchange. */
    private fun exchangeWith(member: Member): Boolean {
        val sentAt = uptime()
        val update = cancellations.updateFor(member.name)
        return when (val result = peers.exchange(member, CancellationMessages.encode(node, update))) {
            is PeerClient.ExchangeResult.Answered -> {
                val answer = CancellationMessages.decode(result.message)
                processNew(cancellations.applyReply(member.name, answer, sentAt))
                lock.withLock { answerReceived.signalAll() }
                true
            }
            PeerClient.ExchangeResult.Unsupported -> {
                cancellations.markUnsupported(member.name)
                lock.withLock { answerReceived.signalAll() }
                false
            }
            PeerClient.ExchangeResult.Failed -> false
        }
    }

    /** Processes an update from another controller. Returns the answer; null if the sender is not a member. */
    fun answer(message: CancellationMessage): CancellationMessage? {
        val (answer, newCancellations) =
            cancellations.reply(message.node, CancellationMessages.decode(message)) ?: return null
        processNew(newCancellations)
        return CancellationMessages.encode(node, answer)
    }

    private fun processNew(newCancellations: List<Cancellation>) {
        if (newCancellations.isEmpty()) return
        log.info("cancellations learned from another controller jobs={}", newCancellations.map { it.job })
        onNewCancellations(newCancellations)
        // Passed on to the other controllers, which may not know these cancellations: the sender may end before it has
        // reached all of them.
        lock.withLock { updateAvailable.signalAll() }
    }

    /**
     * Waits until a user may be told that the job is cancelled, for [CONFIRMATION_TIMEOUT] at most. Returns false if
     * the user must not be told yet.
     */
    fun awaitConfirmable(job: String): Boolean {
        val startedAt = TimeSource.Monotonic.markNow()
        while (true) {
            lock.withLock {
                if (cancellations.mayConfirm(job)) return true
                val remaining = CONFIRMATION_TIMEOUT - startedAt.elapsedNow()
                if (remaining <= Duration.ZERO) return false
                answerReceived.await(remaining.inWholeMilliseconds + 1, TimeUnit.MILLISECONDS)
            }
        }
    }

    private companion object {
        val log = loggerOf(CancellationExchange::class.java)

        /**
         * While the key-value store reports changes to all controllers, the exchange only has to show that the other
         * controller is up.
         */
        val EXCHANGE_INTERVAL = 2.seconds
        val RETRY_INTERVAL = 500.milliseconds

        /** How long a user's request waits for the other controllers. */
        val CONFIRMATION_TIMEOUT = 600.milliseconds
    }
}
