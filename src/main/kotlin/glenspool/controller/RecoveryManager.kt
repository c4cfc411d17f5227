package glenspool.controller

import glenspool.core.SchedulerHooks
import glenspool.logging.loggerOf
import glenspool.peer.PeerClient
import glenspool.peer.PeerWitness
import glenspool.peer.RecoveryReply
import glenspool.peer.RecoveryRequest
import glenspool.peer.RecoveryVerb
import glenspool.reconcile.ContinuityWitness
import glenspool.reconcile.MemberWitness
import glenspool.reconcile.RecoveryEngine
import glenspool.reconcile.RecoveryNotice
import glenspool.reconcile.RecoveryPhase
import glenspool.reconcile.RecoveryPolicy
import glenspool.reconcile.RecoveryRecord
import glenspool.reconcile.RecoverySetting
import glenspool.reconcile.RecoverySnapshot
import glenspool.reconcile.StartClassifier
import glenspool.reconcile.StartKind
import glenspool.reconcile.StoredRecovery
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreCache
import glenspool.state.StoreResult
import glenspool.wire.MalformedMessage
import glenspool.wire.RecoveryWire
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Connects a term's [RecoveryEngine] with the state service, the other controllers and the operators. The engine
 * belongs to the core's thread, which is told by events; what is stored and asked is done here.
 */
class RecoveryManager(
    private val node: String,
    private val memberCount: Int,
    private val policy: RecoveryPolicy,
    private val setting: RecoverySetting,
    private val store: KeyValueStoreClient,
    private val cache: StoreCache,
    private val leadership: Leadership,
    private val peers: PeerClient,
    private val uptime: () -> Duration,
    private val post: (Event) -> Unit,
) {
    private val witness = ContinuityWitness(REMAINDER)
    private var readAt: Duration? = null

    @Volatile
    private var unreadableVersion: Long? = null

    /** How the term looked that this node stood for last. */
    private class Candidacy(val token: Long, val kind: StartKind)

    private var askedAt = Duration.ZERO

    @Volatile
    private var candidacy: Candidacy? = null

    private class TermRecovery(val term: Term, val engine: RecoveryEngine)

    @Volatile
    private var current: TermRecovery? = null

    /** The phase of the present term that is to be stored. */
    @Volatile
    private var enteredPhase: RecoveryPhase? = null

    /** The first term that this process has lived through. */
    @Volatile
    private var firstWitnessed: Long? = null

    /** What this process shows of itself to the others. */
    fun ownWitness() = PeerWitness(firstWitnessed)

    /**
     * The replica has just been read, by a request that was sent so long ago; all that it told was handed to the core
     * before.
     */
    fun stateRead(sentAgo: Duration) {
        synchronized(witness) { observeLeader(uptime()) }
        if (current?.engine?.awaitsStateRead == true) post(Event.StoreRead(TimeSource.Monotonic.markNow() - sentAgo))
    }

    private fun observeLeader(now: Duration) {
        val last = readAt
        readAt = now
        if (last != null && now - last > READ_GAP) witness.readingInterrupted(now)
        witness.stateRead(leadership.recordedToken(), now)
        firstWitnessed = witness.firstToken
    }

    /**
     * What an election stores besides, so that no leader begins a recovery that a later one does not know of. Nothing
     * where it is certain that this is an ordinary take-over.
     */
    fun recordAtElection(token: Long): List<Put> {
        val kind = StartClassifier.classify(token, firstWitnessed, unasked(memberCount), stored())
        candidacy = Candidacy(token, kind)
        if (kind == StartKind.TAKE_OVER || kind == StartKind.FIRST) return emptyList()
        return listOf(Put(Keys.RECOVERY, RecoveryWire.encode(openRecord(token))))
    }

    private fun unasked(members: Int) = List(members) { MemberWitness(answered = false, firstToken = null) }

    private fun openRecord(token: Long): RecoveryRecord {
        val before = (stored() as? StoredRecovery.Present)?.record?.takeIf { it.phase != RecoveryPhase.NORMAL }
        return before?.copy(token = token, phase = RecoveryPhase.READING)
            ?: RecoveryRecord(token, RecoveryPhase.READING, wallClock())
    }

    /**
     * A term begins; called by the core's thread, with the core's time. Null: it is an ordinary start, and nothing has
     * to be recovered.
     */
    fun begin(term: Term, at: Duration): RecoveryEngine? {
        val record = (stored() as? StoredRecovery.Present)?.record?.takeIf { it.token == term.token }
        val kind = candidacy?.takeIf { it.token == term.token }?.kind ?: StartKind.UNKNOWN
        enteredPhase = null
        current = null
        if (kind == StartKind.TAKE_OVER || kind == StartKind.FIRST) return null
        val engine = RecoveryEngine(policy, setting, term.token, at, kind, record)
        current = TermRecovery(term, engine)
        log.info("recovery token={} start={} phase={}", term.token, kind, engine.phase)
        return engine
    }

    /** What a scheduler is given in a term in which nothing has to be recovered. */
    val ordinaryHooks = SchedulerHooks(newWorkNeedsOwnReport = true)

    /** What the engine told at a tick; called by the core's thread. */
    fun noticed(notices: List<RecoveryNotice>) {
        for (notice in notices) {
            when (notice) {
                is RecoveryNotice.PhaseEntered -> entered(notice)
                is RecoveryNotice.ShareResolved -> log.info("recovery settled share={} after={}", notice.share, notice.after)
                is RecoveryNotice.BreakerOpened ->
                    log
                        .warn("recovery: {}", RecoveryReplies.breaker(notice.state, policy))
                is RecoveryNotice.BreakerReleased ->
                    log
                        .info("recovery: destructive orders go on cause={} machines={}", notice.state.release, notice.state.machines)
            }
        }
    }

    private fun entered(notice: RecoveryNotice.PhaseEntered) {
        enteredPhase = notice.state.phase
        val s = notice.snapshot
        log.info(
            "recovery phase={} cause={} start={} heard={} expected={} differences={} settled={} until={}",
            notice.state.phase, notice.state.end, s.startKind, s.gathering.reported, s.gathering.expected, s.totals.byKind, s.resolvedShare, s.until,
        )
    }

    /** The duty. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            val recovery = current?.takeIf { it.term == leadership.current() }
            if (recovery != null) attend(recovery)
            Thread.sleep(PAUSE.inWholeMilliseconds)
        }
    }

    private fun attend(recovery: TermRecovery) {
        if (recovery.engine.isActive &&
            recovery.engine.startKind == StartKind.UNKNOWN &&
            uptime() - askedAt >= ASK_EVERY
        ) {
            askMembers(recovery)
        }
        val phase = enteredPhase ?: return
        if (update(recovery.term) { it.copy(phase = phase) } && enteredPhase == phase) enteredPhase = null
    }

    private fun askMembers(recovery: TermRecovery) {
        askedAt = uptime()
        // A controller that says nothing of this, since it does not manage recovery, is as good as one that can't be
        // asked.
        val answers =
            peers
                .statuses()
                .mapNotNull {
                    it.witness
                }.map { MemberWitness(answered = true, firstToken = it.firstToken) }
        // The election has opened this term's own record, which says nothing about how the term began.
        val kind =
            StartClassifier.classify(
                recovery.term.token, firstWitnessed,
                answers + unasked(memberCount - answers.size), StoredRecovery.Absent,
            )
        if (kind != StartKind.UNKNOWN) post(Event.StartJudged(recovery.term, kind))
    }

    private fun stored(): StoredRecovery {
        val item = cache.get(Keys.RECOVERY) ?: return StoredRecovery.Absent
        return try {
            StoredRecovery.Present(RecoveryWire.decode(item.value), item.version)
        } catch (e: MalformedMessage) {
            if (unreadableVersion !=
                item.version
            ) {
                log.error("stored record {} is not readable, recovery begins anew: {}", Keys.RECOVERY, e.message)
            }
            unreadableVersion = item.version
            StoredRecovery.Unreadable(item.version, e.message ?: "malformed")
        }
    }

    /** Changes the record under the term's version and its own. False: it was not stored, or perhaps not. */
    @Synchronized
    private fun update(term: Term, change: (RecoveryRecord) -> RecoveryRecord): Boolean {
        val before = stored()
        val version =
            when (before) {
                is StoredRecovery.Absent -> 0L
                is StoredRecovery.Present -> before.version
                is StoredRecovery.Unreadable -> before.version
            }
        val record =
            (before as? StoredRecovery.Present)?.record
                ?: RecoveryRecord(term.token, RecoveryPhase.READING, wallClock())
        val put = Put(Keys.RECOVERY, RecoveryWire.encode(change(record).copy(token = term.token)))
        val result = store.transact(mapOf(Keys.LEAD to term.recordVersion, Keys.RECOVERY to version), listOf(put))
        if (result !is StoreResult.Ok) log.info("recovery record not stored: {}", result)
        cache.sync(SYNC_TIMEOUT)
        return result is StoreResult.Ok
    }

    /** What this node would show of the present term's recovery; null if it does not lead. */
    fun snapshot(): RecoverySnapshot? = current?.takeIf { it.term == leadership.current() }?.engine?.snapshot

    /** An operator's order; null if it was carried out, else what stands against it. */
    fun order(request: RecoveryRequest): RecoveryReply? {
        val term = leadership.current() ?: return RecoveryReply(false, notLeading())
        val recovery = current?.takeIf { it.term == term }
        if (recovery == null || !recovery.engine.isActive) return RecoveryReply(false, "no recovery is under way")
        val isStored =
            update(recovery.term) { record ->
                when (request.verb) {
                    RecoveryVerb.APPROVE -> record.copy(isApproved = true)
                    RecoveryVerb.PAUSE -> record.copy(isPaused = true)
                    RecoveryVerb.RESUME -> record.copy(isPaused = false)
                    RecoveryVerb.STATUS, RecoveryVerb.DIFFERENCES -> record
                }
            }
        if (!isStored) return RecoveryReply(false, "the order could not be stored", ORDER_RETRY_SECONDS)
        log.info("recovery order taken: {} by={}", request.verb, request.by)
        post(Event.RecoveryOrdered(recovery.term, request.verb))
        return null
    }

    /** What an operator is told who asks for something that only the leader can do. */
    fun notLeading(): String {
        val leader = leadership.recordedLeader()?.takeIf { it != node }
        return if (leader == null) "no leader is known; ask again in a moment" else "$node does not lead; ask $leader"
    }

    /** The recovery's policy, for what operators are shown. */
    fun describe(snapshot: RecoverySnapshot) = RecoveryReplies.recovery(snapshot, policy)

    private companion object {
        val log = loggerOf(RecoveryManager::class.java)
        val PAUSE = 300.milliseconds
        val ASK_EVERY = 1.seconds
        val SYNC_TIMEOUT = 1500.milliseconds

        /** A leader's lease lasts 3 s; within this time a remainder of one has ended. */
        val REMAINDER = 4.seconds

        /** The replica looks every second; after a longer gap there may have been an outage. */
        val READ_GAP = 2500.milliseconds

        const val ORDER_RETRY_SECONDS = 2
    }
}
