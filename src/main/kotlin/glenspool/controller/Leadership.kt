package glenspool.controller

import glenspool.logging.loggerOf
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreCache
import glenspool.state.StoreResult
import glenspool.wire.LeadershipWire
import glenspool.wire.MalformedMessage
import glenspool.wire.StoreWire
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Leader election. The leadership record lives on a lease; the counter of fencing tokens beside it only grows and
 * outlives every lease. A node counts its own time as leader from when the renewal was sent, less clock drift, so it
 * always stops before anyone else could begin.
 */
class Leadership(
    private val node: String,
    /** Distinguishes this process from an earlier one on the same host, whose record may still be there. */
    private val boot: String,
    private val client: KeyValueStoreClient,
    private val cache: StoreCache,
    private val onElected: (Term) -> Unit,
    private val onDeposed: () -> Unit,
    /** What an election with this token stores besides, in its own transaction. */
    private val electionPuts: (token: Long) -> List<Put> = { emptyList() },
    /** Whether this process may lead at all. */
    private val mayLead: () -> Boolean = { true },
) {
    private val clock = TimeSource.Monotonic

    @Volatile
    private var term: Term? = null

    @Volatile
    private var validUntil: ComparableTimeMark = clock.markNow()

    /** Until then this node does not stand for election; null: it has never resigned. */
    @Volatile
    private var backoffUntil: ComparableTimeMark? = null

    /** The term, if this node may act as leader at this moment. */
    fun current(): Term? = term?.takeIf { validUntil.hasNotPassedNow() }

    /** The leader as the stored record names it. */
    fun recordedLeader(): String? = cache.get(Keys.LEAD)?.let { LeadershipWire.node(it.value) }

    /** The token with which the recorded leader was elected. */
    fun recordedToken(): Long? = cache.get(Keys.LEAD)?.let { LeadershipWire.token(it.value) }

    private fun recordedBoot(): String? = cache.get(Keys.LEAD)?.let { LeadershipWire.boot(it.value) }

    /** The service thread: renews the lease while this node leads, and stands for election while nobody does. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            val pause = if (term != null) renewOrStepDown() else tryElect()
            Thread.sleep(pause.inWholeMilliseconds)
        }
    }

    /** Stops acting as leader at once, because another node leads or may lead. */
    fun stepDown(reason: String) {
        if (term == null) return
        log.info("leadership ended reason={}", reason)
        term = null
        onDeposed()
    }

    /** Steps down and ends the lease, so that another node can begin at once; this one does not stand for [backoff]. */
    fun resign(reason: String, backoff: Duration) {
        val resigned = term ?: return
        backoffUntil = clock.markNow() + backoff
        stepDown(reason)
        client.endLease(resigned.lease)
    }

    /** Returns the pause until the next renewal or election; so does [tryElect]. */
    private fun renewOrStepDown(): Duration {
        val renewed = term ?: return Duration.ZERO
        if (isReplaced(renewed)) {
            stepDown("another holder is recorded")
            return Duration.ZERO
        }
        val sent = clock.markNow()
        return when (val result = client.renew(renewed.lease)) {
            is StoreResult.Ok -> {
                validUntil = sent + VALID
                RENEW_EVERY
            }
            is StoreResult.Missing -> {
                stepDown("lease lost")
                Duration.ZERO
            }
            else -> {
                log.debug("lease renewal failed: {}", result)
                RETRY
            }
        }
    }

    private fun isReplaced(term: Term): Boolean {
        val recorded = cache.get(Keys.LEAD) ?: return false
        return isCacheRecent() && recorded.version > term.recordVersion
    }

    private fun isCacheRecent() = cache.age().let { it != null && it < FRESH }

    /** The records that an election replaces, and the last token. */
    private class Candidacy(val recorded: StoreWire.Item?, val counter: StoreWire.Item?, val lastToken: Long) {
        val conditions
            get() = mapOf(Keys.LEAD to (recorded?.version ?: 0L), Keys.TERM to (counter?.version ?: 0L))
    }

    /** Null: somebody leads, or this node may not stand now. */
    private fun candidacy(): Candidacy? {
        val age = cache.age()
        if (age == null || age > FRESH) return null
        if (backoffUntil?.hasNotPassedNow() == true || !mayLead()) return null
        val recorded = cache.get(Keys.LEAD)
        // Our own record from an earlier process: that process has ended, so the leadership is vacant. The record is
        // never taken for ours, since it is replaced under its exact version.
        val isLeftByEarlierProcess = recorded != null && recordedLeader() == node && recordedBoot() != boot
        if (recorded != null && !isLeftByEarlierProcess) return null
        val counter = cache.get(Keys.TERM)
        return try {
            Candidacy(recorded, counter, counter?.let { LeadershipWire.decodeCounter(it.value) } ?: 0L)
        } catch (e: MalformedMessage) {
            log.error("token counter is not readable", e)
            null
        }
    }

    private fun tryElect(): Duration {
        val candidacy = candidacy() ?: return IDLE
        val sent = clock.markNow()
        val lease = (client.newLease(TTL) as? StoreResult.Ok)?.value ?: return IDLE
        val token = candidacy.lastToken + 1
        val puts =
            listOf(
                Put(Keys.LEAD, LeadershipWire.encode(node, boot, token), lease),
                Put(Keys.TERM, LeadershipWire.encodeCounter(token)),
            ) + electionPuts(token)
        return when (val result = client.transact(candidacy.conditions, puts)) {
            is StoreResult.Ok -> beginTerm(Term(token, result.value, lease), sent)
            else -> {
                log.info("election lost: {}", result)
                cache.sync(SYNC_TIMEOUT)
                RETRY
            }
        }
    }

    private fun beginTerm(won: Term, sent: ComparableTimeMark): Duration {
        if (!readBack(won.recordVersion, sent) || recordedBoot() != boot) return Duration.ZERO
        if (!mayLead()) {
            // A level was activated while this process was being elected.
            client.endLease(won.lease)
            return IDLE
        }
        validUntil = sent + VALID
        term = won
        log.info("elected token={} revision={}", won.token, won.recordVersion)
        onElected(won)
        return RENEW_EVERY
    }

    /** Nothing may be decided from a cache older than the election. False: the store could not be read in time. */
    private fun readBack(revision: Long, sent: ComparableTimeMark): Boolean {
        while (!cache.sync(SYNC_TIMEOUT) || cache.get(Keys.LEAD)?.version.let { it == null || it < revision }) {
            if (sent.elapsedNow() > VALID) {
                log.warn("elected, but the state could not be read in time")
                return false
            }
        }
        return true
    }

    /** Advances the fencing token within the term. Returns the new one; null: it was not, or perhaps not, advanced. */
    fun advanceToken(): Long? {
        val leading = current() ?: return null
        val counter = cache.get(Keys.TERM) ?: return null
        val next = LeadershipWire.decodeCounter(counter.value) + 1
        val result =
            client.transact(
                mapOf(Keys.LEAD to leading.recordVersion, Keys.TERM to counter.version),
                listOf(Put(Keys.TERM, LeadershipWire.encodeCounter(next))),
            )
        if (result is StoreResult.Ok) return next
        cache.sync(SYNC_TIMEOUT)
        return null
    }

    private companion object {
        val log = loggerOf(Leadership::class.java)
        val TTL = 3.seconds

        /** The lease less what clocks may drift in it and a margin for a stalled process. */
        val VALID = TTL * 0.999 - 400.milliseconds
        val RENEW_EVERY = 700.milliseconds
        val RETRY = 300.milliseconds
        val IDLE = 200.milliseconds
        val SYNC_TIMEOUT = 1.seconds

        /** With an older cache this node neither stands for election nor concludes that it was replaced. */
        val FRESH = 7.seconds
    }
}
