package glenspool.controller

import glenspool.core.SchedulerHooks
import glenspool.logging.loggerOf
import glenspool.peer.PeerClient
import glenspool.peer.PeerWitness
import glenspool.peer.RecoveryReply
import glenspool.peer.RecoveryRequest
import glenspool.peer.RecoveryStatus
import glenspool.peer.RecoveryVerb
import glenspool.reconcile.ContinuityEvidence
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
 * Connects a term's [RecoveryEngine] with the key-value store, the other controllers and the operators. The engine
 * belongs to the core thread, which is reached by events; what is stored and asked is done here.
 */
class RecoveryManager(
    private val node: String,
    private val memberCount: Int,
    private val policy: RecoveryPolicy,
    private val setting: RecoveryTimings,
    store: KeyValueStoreClient,
    cache: StoreCache,
    private val leadership: Leadership,
    private val peers: PeerClient,
    private val uptime: () -> Duration,
    private val post: (Event) -> Unit,
) {
    private class TermRecovery(val term: Term, val engine: RecoveryEngine)

    /** How the last election that this node stood for would begin its term. */
    private class Candidacy(val token: Long, val kind: StartKind)

    private val records = RecoveryRecords(cache, RecordStore(store, cache))

    /** Guarded by its own lock, like [storeReadAt]. */
    private val witness = ContinuityEvidence(LEASE_REMAINDER)
    private var storeReadAt: Duration? = null

    /** The first term that this process has lived through. */
    @Volatile
    private var firstWitnessed: Long? = null

    @Volatile
    private var candidacy: Candidacy? = null

    @Volatile
    private var current: TermRecovery? = null

    /** The phase of the present term that is still to be stored. */
    @Volatile
    private var enteredPhase: RecoveryPhase? = null
    private var membersAskedAt = Duration.ZERO

    /** What a scheduler is given in a term in which nothing has to be recovered. */
    val hooksWithoutRecovery = SchedulerHooks(newWorkNeedsOwnHeartbeat = true)

    /** What this process shows of itself to the others. */
    fun ownContinuityEvidence() = PeerWitness(firstWitnessed)

    /** The store was read by a request sent [sentAgo]; all changes up to then were handed to the core before. */
    fun storeRead(sentAgo: Duration) {
        synchronized(witness) { observeLeader(uptime()) }
        if (current?.engine?.needsStoreReads == true) post(Event.StoreRead(TimeSource.Monotonic.markNow() - sentAgo))
    }

    private fun observeLeader(now: Duration) {
        val last = storeReadAt
        storeReadAt = now
        if (last != null && now - last > READ_GAP) witness.recordReadGap(now)
        witness.recordStoreRead(leadership.recordedToken(), now)
        firstWitnessed = witness.firstToken
    }

    /**
     * What an election stores besides, so that no leader begins a recovery that a later one does not know of. Nothing
     * where it is certain that this is an ordinary failover.
     */
    fun electionPuts(token: Long): List<Put> {
        val kind = StartClassifier.classify(token, firstWitnessed, unasked(memberCount), records.read())
        candidacy = Candidacy(token, kind)
        return if (kind.needsNoRecovery()) emptyList() else listOf(records.electionPut(token))
    }

    private fun StartKind.needsNoRecovery() = this == StartKind.TAKE_OVER || this == StartKind.FIRST

    private fun unasked(members: Int) = List(members) { MemberContinuityEvidence(answered = false, firstToken = null) }

    /**
     * A term begins; called by the core thread, with the core's time. Null: it is an ordinary start, and nothing has to
     * be recovered.
     */
    fun begin(term: Term, at: Duration): RecoveryEngine? {
        val record = records.readOrNull()?.takeIf { it.token == term.token }
        val kind = candidacy?.takeIf { it.token == term.token }?.kind ?: StartKind.UNKNOWN
        enteredPhase = null
        current = null
        if (kind.needsNoRecovery()) return null
        val engine = RecoveryEngine(policy, setting, term.token, at, kind, record)
        current = TermRecovery(term, engine)
        log.info("recovery token={} start={} phase={}", term.token, kind, engine.phase)
        return engine
    }

    /** The engine's notices of a tick; called by the core thread. */
    fun handleNotices(notices: List<RecoveryNotice>) {
        for (notice in notices) {
            if (notice is RecoveryNotice.PhaseEntered) enteredPhase = notice.state.phase
            RecoveryNoticeLog.log(notice, policy)
        }
    }

    /** The service thread. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            currentRecovery()?.let { serve(it) }
            Thread.sleep(PAUSE.inWholeMilliseconds)
        }
    }

    private fun currentRecovery(): TermRecovery? = current?.takeIf { it.term == leadership.current() }

    private fun serve(recovery: TermRecovery) {
        val isStartUnknown = recovery.engine.isActive && recovery.engine.startKind == StartKind.UNKNOWN
        if (isStartUnknown && uptime() - membersAskedAt >= ASK_PERIOD) askMembers(recovery)
        val phase = enteredPhase ?: return
        val isStored = records.update(recovery.term) { it.copy(phase = phase) }
        if (isStored && enteredPhase == phase) enteredPhase = null
    }

    private fun askMembers(recovery: TermRecovery) {
        membersAskedAt = uptime()
        // A controller that says nothing of this, since it does not manage recovery, is as good as one that can't be
        // asked.
        val witnesses = peers.statuses().mapNotNull { it.witness }
        val answers = witnesses.map { MemberContinuityEvidence(answered = true, firstToken = it.firstToken) }
        val members = answers + unasked(memberCount - answers.size)
        // The election has opened this term's own record, which says nothing about how the term began.
        val kind = StartClassifier.classify(recovery.term.token, firstWitnessed, members, StoredRecovery.Absent)
        if (kind != StartKind.UNKNOWN) post(Event.StartKindDetermined(recovery.term, kind))
    }

    /** What this node would show of the present term's recovery; null if it does not lead. */
    fun snapshot(): RecoverySnapshot? = currentRecovery()?.engine?.snapshot

    /** An operator's order; null if it was carried out, else why not. */
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
        if (!isStored) return RecoveryReply(false, "the order could not be stored", ORDER_RETRY_SECONDS)
        log.info("recovery order accepted: {} by={}", request.verb, request.by)
        post(Event.RecoveryOrdered(recovery.term, request.verb))
        return null
    }

    /** The answer to an operator who asks for something that only the leader can do. */
    fun notLeaderMessage(): String {
        val leader = leadership.recordedLeader()?.takeIf { it != node }
        return if (leader == null) "no leader is known; ask again in a moment" else "$node does not lead; ask $leader"
    }

    /** The present term's recovery as operators are shown it; null if there is none. */
    fun status(): RecoveryStatus.Recovery? = snapshot()?.let { RecoveryReplies.recovery(it, policy) }

    private companion object {
        val log = loggerOf(RecoveryManager::class.java)
        val PAUSE = 300.milliseconds
        val ASK_PERIOD = 1.seconds

        /** A leader's lease lasts 3 s; within this time the rest of one has expired. */
        val LEASE_REMAINDER = 4.seconds

        /** The store cache is refreshed every second; a longer gap may be an outage. */
        val READ_GAP = 2500.milliseconds

        const val ORDER_RETRY_SECONDS = 2
    }
}
