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
 * Leader election. The leadership record is bound to a store lease. The fencing token counter is stored without a
 * lease, so it outlives every lease, and it only increases. A node measures the validity of its leadership from when it
 * sent the lease renewal and subtracts clock drift, so it always stops acting as leader before another node can begin.
 */
class Leadership(
    private val node: String,
    /** Distinguishes this process from an earlier one on the same host, whose leadership record may still be stored. */
    private val boot: String,
    private val client: KeyValueStoreClient,
    private val cache: StoreCache,
    private val onElected: (Term) -> Unit,
    private val onDeposed: () -> Unit,
    /** Returns further records to store in the transaction of an election with this token. */
    private val electionPuts: (token: Long) -> List<Put> = { emptyList() },
    /** Whether this process may lead at all. */
    private val mayLead: () -> Boolean = { true },
) {
    private val clock = TimeSource.Monotonic

    @Volatile
    private var term: Term? = null

    @Volatile
    private var validUntil: ComparableTimeMark = clock.markNow()

    /** The time until which this node does not stand for election; null if it has never resigned. */
    @Volatile
    private var backoffUntil: ComparableTimeMark? = null

    /** Returns the term if this node may act as leader at this moment, otherwise null. */
    fun current(): Term? = term?.takeIf { validUntil.hasNotPassedNow() }

    /** Returns the leader named in the stored leadership record, or null if there is no record. */
    fun recordedLeader(): String? = cache.get(Keys.LEADERSHIP)?.let { LeadershipWire.node(it.value) }

    /** Returns the token with which the recorded leader was elected, or null if there is no record. */
    fun recordedToken(): Long? = cache.get(Keys.LEADERSHIP)?.let { LeadershipWire.token(it.value) }

    private fun recordedBoot(): String? = cache.get(Keys.LEADERSHIP)?.let { LeadershipWire.boot(it.value) }

    /** The body of the service thread: renews the lease while this node leads, and stands for election if none does. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            val pause = if (term != null) renewOrStepDown() else tryElect()
            Thread.sleep(pause.inWholeMilliseconds)
        }
    }

    /** Stops acting as leader immediately, because another node leads or may lead. */
    fun stepDown(reason: String) {
        if (term == null) return
        log.info("leadership ended reason={}", reason)
        term = null
        onDeposed()
    }

    /**
     * Steps down and ends the lease, so that another node can be elected immediately. This node does not stand for
     * election for [backoff].
     */
    fun resign(reason: String, backoff: Duration) {
        val endedTerm = term ?: return
        backoffUntil = clock.markNow() + backoff
        stepDown(reason)
        client.endLease(endedTerm.lease)
    }

    /** Like [tryElect], returns the delay until the next renewal or election attempt. */
    private fun renewOrStepDown(): Duration {
        val ledTerm = term ?: return Duration.ZERO
        if (isReplaced(ledTerm)) {
            stepDown("another leader is recorded")
            return Duration.ZERO
        }
        val sentAt = clock.markNow()
        return when (val result = client.renewLease(ledTerm.lease)) {
            is StoreResult.Ok -> {
                validUntil = sentAt + VALIDITY
                RENEWAL_INTERVAL
            }
            is StoreResult.Missing -> {
                stepDown("lease lost")
                Duration.ZERO
            }
            else -> {
                log.debug("lease renewal of the leadership failed and will be retried: {}", result)
                RETRY_DELAY
            }
        }
    }

    private fun isReplaced(term: Term): Boolean {
        val recorded = cache.get(Keys.LEADERSHIP) ?: return false
        return isCacheRecent() && recorded.version > term.recordVersion
    }

    private fun isCacheRecent() = cache.age().let { it != null && it < MAX_CACHE_AGE }

    /** The records that an election replaces, and the last fencing token. */
    private class Candidacy(val recorded: StoreWire.Item?, val counter: StoreWire.Item?, val lastToken: Long) {
        val conditions
            get() = mapOf(Keys.LEADERSHIP to (recorded?.version ?: 0L), Keys.TOKEN_COUNTER to (counter?.version ?: 0L))
    }

    /** Returns null if a node leads, or if this node may not stand for election at the moment. */
    private fun candidacy(): Candidacy? {
        val age = cache.age()
        if (age == null || age > MAX_CACHE_AGE) return null
        if (backoffUntil?.hasNotPassedNow() == true || !mayLead()) return null
        val recorded = cache.get(Keys.LEADERSHIP)
        // If the record was written by an earlier process of this node, that process has ended and the leadership is
        // vacant. Its record can't be mistaken for this process's own, because the election replaces it on condition of
        // its exact version.
        val isFromEarlierProcess = recorded != null && recordedLeader() == node && recordedBoot() != boot
        if (recorded != null && !isFromEarlierProcess) return null
        val counter = cache.get(Keys.TOKEN_COUNTER)
        return try {
            Candidacy(recorded, counter, counter?.let { LeadershipWire.decodeCounter(it.value) } ?: 0L)
        } catch (e: MalformedMessage) {
            log.error("stored fencing token counter could not be decoded; not standing for election", e)
            null
        }
    }

    private fun tryElect(): Duration {
        val candidacy = candidacy() ?: return ELECTION_CHECK_INTERVAL
        val sentAt = clock.markNow()
        val lease = (client.newLease(LEASE_DURATION) as? StoreResult.Ok)?.value ?: return ELECTION_CHECK_INTERVAL
        val token = candidacy.lastToken + 1
        val puts =
            listOf(
                Put(Keys.LEADERSHIP, LeadershipWire.encode(node, boot, token), lease),
                Put(Keys.TOKEN_COUNTER, LeadershipWire.encodeCounter(token)),
            ) + electionPuts(token)
        return when (val result = client.transact(candidacy.conditions, puts)) {
            is StoreResult.Ok -> beginTerm(Term(token, result.value, lease), sentAt)
            else -> {
                log.info("election lost: {}", result)
                cache.sync(SYNC_TIMEOUT)
                RETRY_DELAY
            }
        }
    }

    private fun beginTerm(newTerm: Term, sentAt: ComparableTimeMark): Duration {
        if (!awaitElectionInCache(newTerm.recordVersion, sentAt) || recordedBoot() != boot) return Duration.ZERO
        if (!mayLead()) {
            // For example, a level that this process can't read was activated during the election.
            client.endLease(newTerm.lease)
            return ELECTION_CHECK_INTERVAL
        }
        validUntil = sentAt + VALIDITY
        term = newTerm
        log.info("elected token={} revision={}", newTerm.token, newTerm.recordVersion)
        onElected(newTerm)
        return RENEWAL_INTERVAL
    }

    /**
     * Waits until the cache includes the election, since no decision may be based on an older state. Returns false if
     * the store could not be read in time.
     */
    private fun awaitElectionInCache(revision: Long, sentAt: ComparableTimeMark): Boolean {
        while (!cache.sync(SYNC_TIMEOUT) || cache.get(Keys.LEADERSHIP)?.version.let { it == null || it < revision }) {
            if (sentAt.elapsedNow() > VALIDITY) {
                log.warn("election won, but the stored state could not be read in time; not acting as leader")
                return false
            }
        }
        return true
    }

    /** Advances the fencing token within the term. Returns the new token; null if it may not have been advanced. */
    fun advanceToken(): Long? {
        val leading = current() ?: return null
        val counter = cache.get(Keys.TOKEN_COUNTER) ?: return null
        val next = LeadershipWire.decodeCounter(counter.value) + 1
        val result =
            client.transact(
                mapOf(Keys.LEADERSHIP to leading.recordVersion, Keys.TOKEN_COUNTER to counter.version),
                listOf(Put(Keys.TOKEN_COUNTER, LeadershipWire.encodeCounter(next))),
            )
        if (result is StoreResult.Ok) return next
        cache.sync(SYNC_TIMEOUT)
        return null
    }

    private companion object {
        val log = loggerOf(Leadership::class.java)
        val LEASE_DURATION = 3.seconds

        /** The lease duration less the clock drift possible in that time and a margin for a stalled process. */
        val VALIDITY = LEASE_DURATION * 0.999 - 400.milliseconds
        val RENEWAL_INTERVAL = 700.milliseconds
        val RETRY_DELAY = 300.milliseconds
        val ELECTION_CHECK_INTERVAL = 200.milliseconds
        val SYNC_TIMEOUT = 1.seconds

        /** With an older cache this node neither stands for election nor concludes that it was replaced. */
        val MAX_CACHE_AGE = 7.seconds
    }
}
