package glenspool.simulation

import glenspool.controller.transactionOf
import glenspool.core.Action
import glenspool.core.Scheduler
import glenspool.core.SchedulerHooks
import glenspool.core.model.Heartbeat
import glenspool.reconcile.RecoveryEngine
import glenspool.reconcile.RecoveryNotice
import glenspool.reconcile.StartKind
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.wire.StoreWire
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Makes the recovery of a term that begins. */
typealias RecoveryFactory = (token: Long, at: Duration, kind: StartKind) -> RecoveryEngine

/**
 * The leader of a [ClusterSimulation]: elections, the term in office with its real [Scheduler] and recovery, and the
 * store's changes on their way to it. [perform] carries out what a scheduler decides.
 */
internal class SimulatedLeader(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val recoveryFactory: RecoveryFactory?,
    private val perform: (Action, Scheduler) -> Unit,
) {
    /** The scheduler of the present leader; null while nobody leads. */
    var scheduler: Scheduler? = null
        private set

    /** The fencing token of the newest term. */
    private var token = 0L

    /** The store's version of the leader record, on which the leader's transactions are conditioned. */
    var recordVersion = 0L
        private set

    /** Whether the present leader is of the version in production. */
    var isOldVersion = false
        private set

    /** Whether all controllers are of the new version, so that no old one is elected any more. */
    var allControllersNew = false

    /** The recovery of the present term, if recovery is managed and one was due. */
    var recovery: RecoveryEngine? = null
        private set
    val recoveryNotices = ArrayList<RecoveryNotice>()

    /** Whether the next leader finds that all controllers were down, or continues a recovery. */
    private var isRecoveryDue = false

    /** Until then no controller answers workers or sends commands. */
    var controllersDownUntil = Duration.ZERO
        private set
    private var appliedRevision = 0L
    private val heartbeatsForNextTerm = ArrayList<Heartbeat>()

    /** Begins a new term, whoever leads at present. */
    fun elect() {
        traceWorkCounters()
        isOldVersion = !allControllersNew && context.chance(context.faults.oldVersionLeaders)
        storeTerm()
        recovery = recoveryFactory?.takeIf { isRecoveryDue }?.invoke(token, context.now, startKind())
        scheduler = Scheduler(context.config, token, context.now, recovery?.hooks ?: SchedulerHooks())
        step {
            splitRecordSupportChecked(allControllersNew)
            machineTypesRead(context.machineTypes)
            storedEntries(Keys.JOB).forEach { applyChange(it) }
            storedEntries(Keys.CANCEL).forEach { applyChange(it) }
        }
        appliedRevision = store.state.revision
        deliverOldHeartbeats()
    }

    private fun startKind() = if (recovery?.isActive == true) StartKind.CONTINUED else StartKind.COLD

    private fun storeTerm() {
        val lease = store.state.newLease()
        token++
        val leaderRecord = Put(Keys.LEADERSHIP, mapOf("token" to token), lease)
        store.state
            .transact(emptyMap(), listOf(leaderRecord, Put(Keys.TOKEN_COUNTER, mapOf("token" to token))), emptyList())
        recordVersion = store.state.revision
    }

    private fun storedEntries(prefix: String): List<StoreWire.Change> =
        store.state.entries
            .filterKeys { it.startsWith(prefix) }
            .map { (key, entry) -> StoreWire.Change(key, entry.value, entry.version) }

    /** Old heartbeats arrive just as the term begins, in any order. */
    private fun deliverOldHeartbeats() {
        for (heartbeat in heartbeatsForNextTerm.shuffled(context.random)) {
            context.after(context.random.nextInt(300).milliseconds) { step { heartbeatReceived(heartbeat) } }
        }
        heartbeatsForNextTerm.clear()
    }

    /** Keeps a heartbeat, so that it reaches the next leader as its term begins. */
    fun queueForNextTerm(heartbeat: Heartbeat) {
        heartbeatsForNextTerm.add(heartbeat)
    }

    /** Elects a leader as soon as the store answers, unless there is one by then. */
    fun electWhenStoreIsUp() {
        if (scheduler != null) return
        if (store.isDown) context.after(1.seconds) { electWhenStoreIsUp() } else elect()
    }

    /** The leader ends, and its messages stay on their way; another is elected after [untilElection]. */
    fun endTerm(untilElection: Duration) {
        traceWorkCounters()
        scheduler = null
        context.after(untilElection) { electWhenStoreIsUp() }
    }

    /** As [endTerm], after a time that is drawn. */
    fun endTermWithRandomDelay() {
        scheduler = null
        context.after((1 + context.random.nextInt(6)).seconds) { electWhenStoreIsUp() }
    }

    /** All controllers are down for [time]; the next leader begins with a recovery, if that is managed. */
    fun stopAllControllers(time: Duration) {
        isRecoveryDue = recoveryFactory != null
        controllersDownUntil = context.now + time
        endTerm(time)
    }

    /** The leader has resigned; another is elected soon. */
    fun handleResignation(by: Scheduler) {
        if (scheduler === by) scheduler = null
        context.after(1.seconds) { electWhenStoreIsUp() }
    }

    /** Stores and returns the next fencing token, or null if the store does not answer [by] or it does not lead. */
    fun advanceToken(by: Scheduler): Long? {
        if (scheduler !== by || store.isDown) return null
        token++
        store.state.transact(emptyMap(), listOf(Put(Keys.TOKEN_COUNTER, mapOf("token" to token))), emptyList())
        return token
    }

    /** The leader's regular work. */
    fun tick() {
        if (scheduler == null || store.isDown) return
        readChanges()
        step {
            splitRecordSupportChecked(allControllersNew && !isOldVersion)
            tick()
        }
        tickRecovery()
    }

    private fun tickRecovery() {
        val engine = recovery ?: return
        engine.recordStoreRead(context.now)
        recoveryNotices.addAll(engine.tick(context.now))
        isRecoveryDue = engine.isActive
    }

    /** Hands the store's changes since the last call to the scheduler. */
    fun readChanges() {
        if (store.isDown) return
        val changes = store.state.log.filter { (_, _, version) -> version > appliedRevision }
        appliedRevision = store.state.revision
        if (changes.isEmpty()) return
        step { for ((key, value, version) in changes) applyChange(StoreWire.Change(key, value, version)) }
    }

    private fun Scheduler.applyChange(change: StoreWire.Change) {
        val value = change.value
        if (change.key.startsWith(Keys.JOB)) {
            val job = change.key.removePrefix(Keys.JOB)
            if (value == null) {
                jobRemoved(job)
            } else {
                val readable = if (isOldVersion) OldVersion.read(value) else value
                if (readable != null) jobRecordRead(store.records.read(job, readable), change.version)
            }
        } else if (change.key.startsWith(Keys.CANCEL) && value != null) {
            jobCancelled(change.key.removePrefix(Keys.CANCEL), change.version, (value["at"] as Long).milliseconds)
        }
    }

    /** Lets the leader, if there is one, take in an event, and performs what it decides. */
    fun step(event: Scheduler.() -> Unit) {
        val leading = scheduler ?: return
        for (action in leading.step(context.now, context.now, event)) {
            context.trace?.addAction(context.now, action) { transactionOf(recordVersion, it) }
            perform(action, leading)
        }
    }

    /** As [step], if the given scheduler still leads. */
    fun stepIfLeading(expected: Scheduler, event: Scheduler.() -> Unit) {
        if (scheduler === expected) step(event)
    }

    private fun traceWorkCounters() {
        scheduler?.let { context.trace?.addWorkCounters(it.workCounters) }
    }
}
