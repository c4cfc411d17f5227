package glenspool.controller

import glenspool.core.SchedulerHooks
import glenspool.logging.loggerOf
import glenspool.peer.PeerClient
import glenspool.peer.PeerContinuityEvidence
import glenspool.peer.RecoveryReply
import glenspool.peer.RecoveryRequest
import glenspool.peer.RecoveryStatus
import glenspool.peer.RecoveryVerb
import glenspool.reconcile.ContinuityTracker
import glenspool.reconcile.MemberContinuityEvidence
import glenspool.reconcile.RecoveryEngine
import glenspool.reconcile.RecoveryNotice
import glenspool.reconcile.RecoveryPhase
import glenspool.reconcile.RecoveryPolicy
import glenspool.reconcile.RecoverySnapshot
import glenspool.reconcile.RecoveryTimings
import glenspool.reconcile.StartClassifier
import glenspool.reconcile.StartKind
import glenspool.reconcile.StoredRecovery
import glenspool.state.KeyValueStoreClient
import glenspool.state.Put
import glenspool.state.StoreCache
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Connects a term's [RecoveryEngine] with the key-value store, the other controllers and the operators. The engine is
 * confined to the core thread, to which this class posts events. Records are stored and other controllers queried by
 * this class, outside of the core thread.
 */
class RecoveryManager(
    private val node: String,
    private val memberCount: Int,
    private val policy: RecoveryPolicy,
    private val timings: RecoveryTimings,
    store: KeyValueStoreClient,
    cache: StoreCache,
    private val leadership: Leadership,
    private val peers: PeerClient,
    private val uptime: () -> Duration,
    private val post: (Event) -> Unit,
) {
    private class TermRecovery(val term: Term, val engine: RecoveryEngine)

    /** The term for which this node last stood for election, and how that term would begin. */
    private class Candidacy(val token: Long, val kind: StartKind)

    private val records = RecoveryRecords(cache, RecordStore(store, cache))

    /** Guarded by its own lock, which also guards [storeReadAt]. */
    private val continuityTracker = ContinuityTracker(STALE_LEASE_LIMIT)
    private var storeReadAt: Duration? = null

    /** The fencing token of the first term that this process has lived through; null if there is none yet. */
    @Volatile
    private var firstObservedToken: Long? = null

    @Volatile
    private var lastCandidacy: Candidacy? = null

    @Volatile
    private var current: TermRecovery? = null

    /** The present term's phase if it is still to be stored, otherwise null. */
    @Volatile
    private var unstoredPhase: RecoveryPhase? = null
    private var membersQueriedAt = Duration.ZERO

    /** The scheduler's hooks in a term in which nothing has to be recovered. */
    val hooksWithoutRecovery = SchedulerHooks(newWorkRequiresWorkerHeartbeat = true)

    /** The evidence of terms that this process has lived through, for the other controllers. */
    fun ownContinuityEvidence() = PeerContinuityEvidence(firstObservedToken)

    /**
     * To be called when the store was read by a request that was sent [sentAgo] ago, after all changes up to then were
     * passed to the core.
     */
    fun storeRead(sentAgo: Duration) {
        synchronized(continuityTracker) { observeLeader(uptime()) }
        if (current?.engine?.needsStoreReads == true) post(Event.StoreRead(TimeSource.Monotonic.markNow() - sentAgo))
    }

    private fun observeLeader(now: Duration) {
        val lastReadAt = storeReadAt
        storeReadAt = now
        if (lastReadAt != null && now - lastReadAt > MAX_READ_GAP) continuityTracker.recordReadGap(now)
        continuityTracker.recordStoreRead(leadership.recordedToken(), now)
        firstObservedToken = continuityTracker.firstToken
    }

    /**
     * Returns what the election with [token] stores in addition, so that no leader begins a recovery that a later
     * leader does not know of. Empty if it is certain that nothing has to be recovered, as after an ordinary failover.
     */
    fun electionPuts(token: Long): List<Put> {
        val kind = StartClassifier.classify(token, firstObservedToken, missingAnswers(memberCount), records.read())
        lastCandidacy = Candidacy(token, kind)
        return if (kind.needsNoRecovery()) emptyList() else listOf(records.electionPut(token))
    }

    private fun StartKind.needsNoRecovery() = this == StartKind.TAKE_OVER || this == StartKind.FIRST

    private fun missingAnswers(count: Int) =
        List(count) {
            MemberContinuityEvidence(answered = false, firstToken = null)
        }

    /**
     * Begins a term; called on the core thread, with the core's time. Returns null if this is an ordinary start, so
     * that nothing has to be recovered.
     */
    fun begin(term: Term, at: Duration): RecoveryEngine? {
        val record = records.readOrNull()?.takeIf { it.token == term.token }
        val kind = lastCandidacy?.takeIf { it.token == term.token }?.kind ?: StartKind.UNKNOWN
        unstoredPhase = null
        current = null
        if (kind.needsNoRecovery()) return null
        val engine = RecoveryEngine(policy, timings, term.token, at, kind, record)
        current = TermRecovery(term, engine)
        log.info("recovery token={} start={} phase={}", term.token, kind, engine.phase)
        return engine
    }

    /** Handles the engine's notices of a tick; called on the core thread. */
    fun handleNotices(notices: List<RecoveryNotice>) {
        for (notice in notices) {
            if (notice is RecoveryNotice.PhaseEntered) unstoredPhase = notice.state.phase
            RecoveryNoticeLog.log(notice, policy)
        }
    }

    /** The body of the service thread. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            currentRecovery()?.let { runRound(it) }
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
    }

    private fun currentRecovery(): TermRecovery? = current?.takeIf { it.term == leadership.current() }

    private fun runRound(recovery: TermRecovery) {
        val isStartUnknown = recovery.engine.isActive && recovery.engine.startKind == StartKind.UNKNOWN
        if (isStartUnknown && uptime() - membersQueriedAt >= MEMBER_QUERY_INTERVAL) queryMembers(recovery)
        val phase = unstoredPhase ?: return
        val isStored = records.update(recovery.term) { it.copy(phase = phase) }
        if (isStored && unstoredPhase == phase) unstoredPhase = null
    }

    private fun queryMembers(recovery: TermRecovery) {
        membersQueriedAt = uptime()
        // A controller that does not manage recovery gives no evidence, and counts like one that can't be asked.
        val evidence = peers.statuses().mapNotNull { it.continuityEvidence }
        val answers = evidence.map { MemberContinuityEvidence(answered = true, firstToken = it.firstToken) }
        val members = answers + missingAnswers(memberCount - answers.size)
        // The stored record is left out, since this term's own election wrote it: it does not show how the term began.
        val kind = StartClassifier.classify(recovery.term.token, firstObservedToken, members, StoredRecovery.Absent)
        if (kind != StartKind.UNKNOWN) post(Event.StartKindDetermined(recovery.term, kind))
    }

    /** The present term's recovery at its last evaluation; null if there is none, or if this node does not lead. */
    fun snapshot(): RecoverySnapshot? = currentRecovery()?.engine?.snapshot

    /** Applies an operator's order. Returns null if it was carried out, otherwise the reply that says why not. */
    fun applyOrder(request: RecoveryRequest): RecoveryReply? {
        val term = leadership.current() ?: return RecoveryReply(false, notLeaderMessage())
        val recovery = current?.takeIf { it.term == term }
        if (recovery == null || !recovery.engine.isActive) return RecoveryReply(false, "no recovery is under way")
        val isStored =
            records.update(recovery.term) { record ->
                when (request.verb) {
                    RecoveryVerb.APPROVE -> record.copy(isApproved = true)
                    RecoveryVerb.PAUSE -> record.copy(isPaused = true)
                    RecoveryVerb.RESUME -> record.copy(isPaused = false)
                    RecoveryVerb.STATUS, RecoveryVerb.DIFFERENCES -> record
                }
            }
        if (!isStored) return RecoveryReply(false, "the order could not be stored", ORDER_RETRY_DELAY_SECONDS)
        log.info("recovery order accepted: {} by={}", request.verb, request.by)
        post(Event.RecoveryOrdered(recovery.term, request.verb))
        return null
    }

    /** The answer to an operator's request that only the leader can handle. */
    fun notLeaderMessage(): String {
        val leader = leadership.recordedLeader()?.takeIf { it != node }
        return if (leader == null) "no leader is known; ask again in a moment" else "$node does not lead; ask $leader"
    }

    /** The present term's recovery as shown to operators; null if there is none. */
    fun status(): RecoveryStatus.Recovery? = snapshot()?.let { RecoveryReplies.recovery(it, policy) }

    private companion object {
        val log = loggerOf(RecoveryManager::class.java)
        val POLL_INTERVAL = 300.milliseconds
        val MEMBER_QUERY_INTERVAL = 1.seconds

        /** A leader's lease lasts 3 s, so one that is not renewed any more has expired after this time. */
        val STALE_LEASE_LIMIT = 4.seconds

        /** The store cache is refreshed every second, so a longer gap between reads may be an outage. */
        val MAX_READ_GAP = 2500.milliseconds

        const val ORDER_RETRY_DELAY_SECONDS = 2
    }
}
