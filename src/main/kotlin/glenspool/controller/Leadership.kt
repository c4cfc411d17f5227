package glenspool.controller

import glenspool.logging.loggerOf
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreCache
import glenspool.state.StoreResult
import glenspool.wire.MalformedMessage
import glenspool.wire.StoreWire
import glenspool.wire.count
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * One term of this node's leadership. [recordVersion] is the version of the leadership record that guards every write.
 */
data class Term(val token: Long, val recordVersion: Long, val lease: Long)

/**
 * Who leads. The leadership record lives on a lease; the token counter beside it only grows and outlives every
 * lease. A node counts its own time as leader from when the renewal was sent, less clock drift, so it always
 * stops before anyone else could begin.
 */
class Leadership(
    private val node: String,
    /** Tells this process from an earlier one on the same host, whose record may still be there. */
    private val boot: String,
    private val client: KeyValueStoreClient,
    private val cache: StoreCache,
    private val elected: (Term) -> Unit,
    private val deposed: () -> Unit,
    /** What an election with this token stores besides, in its own transaction. */
    private val storedWithElection: (token: Long) -> List<Put> = { emptyList() },
    /** Whether this process may lead at all. */
    private val mayLead: () -> Boolean = { true },
) {
    @Volatile
    private var term: Term? = null

    @Volatile
    private var validUntil: ComparableTimeMark = TimeSource.Monotonic.markNow()

    private val clock = TimeSource.Monotonic

    /** The term, if this node may act as leader at this moment. */
    fun current(): Term? = term?.takeIf { validUntil.hasNotPassedNow() }

    /** The leader as the stored record names it. */
    fun recordedLeader(): String? = cache.get(Keys.LEAD)?.value?.get("node") as? String

    /** The token with which the recorded leader was elected. */
    fun recordedToken(): Long? = cache.get(Keys.LEAD)?.value?.get("token") as? Long

    private fun recordedBoot(): String? = cache.get(Keys.LEAD)?.value?.get("boot") as? String

    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            Thread.sleep(if (term != null) keepOrDrop() else tryElect())
        }
    }

    /** Something showed that another node leads, or may: this node stops at once and looks again. */
    fun stepDown(why: String) {
        if (term == null) return
        log.info("leadership ended reason={}", why)
        term = null
        deposed()
    }

    /** Stops acting, then ends the lease so that another node can begin at once; this one stands back for a while. */
    fun resign(why: String, standBack: Duration) {
        val t = term ?: return
        standBackUntil = clock.markNow() + standBack
        stepDown(why)
        client.endLease(t.lease)
    }

    @Volatile
    private var standBackUntil: ComparableTimeMark? = null

    private fun keepOrDrop(): Long {
        val t = term ?: return 0
        val recorded = cache.get(Keys.LEAD)
        if (cache.age().let { it != null && it < FRESH } && recorded != null && recorded.version > t.recordVersion) {
            stepDown("another holder is recorded")
            return 0
        }
        val sent = clock.markNow()
        return when (val r = client.renew(t.lease)) {
            is StoreResult.Ok -> {
                validUntil = sent + VALID
                RENEW_EVERY.inWholeMilliseconds
            }
            is StoreResult.Missing -> {
                stepDown("lease lost")
                0
            }
            else -> {
                log.debug("renewal failed: {}", r)
                RETRY.inWholeMilliseconds
            }
        }
    }

    /** The records that an election replaces, and the last token. */
    private class Candidacy(val recorded: StoreWire.Item?, val counter: StoreWire.Item?, val lastToken: Long)

    /** Null: somebody leads, or this node may not stand now. */
    private fun candidacy(): Candidacy? {
        val age = cache.age()
        if (age == null || age > FRESH) return null
        if (standBackUntil?.hasNotPassedNow() == true || !mayLead()) return null
        val recorded = cache.get(Keys.LEAD)
        // Our own record from an earlier process: that process has ended, so its place is free. It is never
        // taken for ours, since it is replaced under its exact version.
        val ownRemains = recorded != null && recordedLeader() == node && recordedBoot() != boot
        if (recorded != null && !ownRemains) return null
        val counter = cache.get(Keys.TERM)
        return try {
            Candidacy(recorded, counter, counter?.value?.count("token") ?: 0L)
        } catch (e: MalformedMessage) {
            log.error("token counter is not readable", e)
            null
        }
    }

    private fun tryElect(): Long {
        val candidacy = candidacy() ?: return IDLE.inWholeMilliseconds
        val sent = clock.markNow()
        val lease = (client.newLease(TTL) as? StoreResult.Ok)?.value ?: return IDLE.inWholeMilliseconds
        val token = candidacy.lastToken + 1
        val r =
            client.transact(
                mapOf(Keys.LEAD to (candidacy.recorded?.version ?: 0L), Keys.TERM to (candidacy.counter?.version ?: 0L)),
                listOf(
                    Put(Keys.LEAD, mapOf("node" to node, "boot" to boot, "token" to token), lease),
                    Put(Keys.TERM, mapOf("token" to token)),
                ) + storedWithElection(token),
            )
        if (r !is StoreResult.Ok) {
            log.info("election not won: {}", r)
            cache.sync(1.seconds)
            return RETRY.inWholeMilliseconds
        }
        if (!readBack(r.value, sent) || recordedBoot() != boot) return 0
        if (!mayLead()) {
            // A level was activated while this process was being elected.
            client.endLease(lease)
            return IDLE.inWholeMilliseconds
        }
        val t = Term(token, r.value, lease)
        validUntil = sent + VALID
        term = t
        log.info("elected token={} revision={}", token, r.value)
        elected(t)
        return RENEW_EVERY.inWholeMilliseconds
    }

    /** Nothing may be judged from a copy older than the election. False: it could not be read in time. */
    private fun readBack(revision: Long, sent: ComparableTimeMark): Boolean {
        while (!cache.sync(1.seconds) || cache.get(Keys.LEAD)?.version.let { it == null || it < revision }) {
            if (sent.elapsedNow() > VALID) {
                log.warn("elected, but the state could not be read in time")
                return false
            }
        }
        return true
    }

    /** Raises the token within the term. The new token, or null. */
    fun raiseToken(): Long? {
        val t = current() ?: return null
        val counter = cache.get(Keys.TERM) ?: return null
        val next = counter.value.count("token") + 1
        val r =
            client.transact(
                mapOf(Keys.LEAD to t.recordVersion, Keys.TERM to counter.version),
                listOf(
                    Put(
                        Keys.TERM,
                        mapOf(
                            "token" to next,
                        ),
                    ),
                ),
            )
        if (r is StoreResult.Ok) return next
        cache.sync(1.seconds)
        return null
    }

    companion object {
        private val log = loggerOf(Leadership::class.java)
        private val TTL = 3.seconds

        /** The lease less what clocks may drift in it and a margin for a stalled process. */
        private val VALID = TTL * 0.999 - 400.milliseconds
        private val RENEW_EVERY = 700.milliseconds
        private val RETRY = 300.milliseconds
        private val IDLE = 200.milliseconds
        private val FRESH = 7.seconds
    }
}
