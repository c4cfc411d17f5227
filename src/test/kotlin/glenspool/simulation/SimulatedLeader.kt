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

/** Creates the recovery of a new term. */
typealias RecoveryFactory = (token: Long, at: Duration, kind: StartKind) -> RecoveryEngine

/**
 * The leader of a [ClusterSimulation]. It simulates elections, runs the current term with its real [Scheduler] and
 * recovery, and delivers the store's changes to it. [perform] executes the actions of a scheduler.
 */
internal class SimulatedLeader(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val recoveryFactory: RecoveryFactory?,
    private val perform: (Action, Scheduler) -> Unit,
) {
    /** The scheduler of the current leader, or null if there is no leader. */
    var scheduler: Scheduler? = null
        private set

    /** The fencing token of the newest term. */
    private var token = 0L

    /** The store's version of the leadership record. It is a condition of the leader's transactions. */
    var recordVersion = 0L
        private set

    /** Whether the current leader runs the version in production. */
    var isOldVersion = false
        private set

    /** Whether all controllers run the new version, so that none of the old version is elected any more. */
    var allControllersNew = false

    /** The recovery of the current term, or null if recovery is not managed or none was due. */
    var recovery: RecoveryEngine? = null
        private set
    val recoveryNotices = ArrayList<RecoveryNotice>()

    /** Whether the next leader starts a recovery because all controllers were down, or continues one. */
    private var isRecoveryDue = false

    /** The time until which no controller answers workers or sends commands. */
    var controllersDownUntil = Duration.ZERO
        private set
    private var appliedRevision = 0L
    private val heartbeatsForNextTerm = ArrayList<Heartbeat>()

    /** Starts a new term, also if there is a leader. */
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

    /** Delivers old heartbeats in random order during the first moments of the term. */
    private fun deliverOldHeartbeats() {
        for (heartbeat in heartbeatsForNextTerm.shuffled(context.random)) {
            context.after(context.random.nextInt(300).milliseconds) { step { heartbeatReceived(heartbeat) } }
        }
        heartbeatsForNextTerm.clear()
    }

    /** Queues a heartbeat for delivery to the next leader at the start of its term. */
    fun queueForNextTerm(heartbeat: Heartbeat) {
        heartbeatsForNextTerm.add(heartbeat)
    }

    /** Elects a leader as soon as the store is up, unless there is one by then. */
    fun electWhenStoreIsUp() {
        if (scheduler != null) return
        if (store.isDown) context.after(1.seconds) { electWhenStoreIsUp() } else elect()
    }

    /** Ends the leader, whose messages in transit still arrive. Another leader is elected after [untilElection]. */
    fun endTerm(untilElection: Duration) {
        traceWorkCounters()
        scheduler = null
        context.after(untilElection) { electWhenStoreIsUp() }
    }

    /**
     * Ends the leader, whose messages in transit still arrive. Another leader is elected after a random time of 1 to 6
     * seconds.
     */
    fun endTermWithRandomDelay() {
        scheduler = null
        context.after((1 + context.random.nextInt(6)).seconds) { electWhenStoreIsUp() }
    }

    /** Stops all controllers for [time]. The next leader starts with a recovery if recovery is managed. */
    fun stopControllers(time: Duration) {
        isRecoveryDue = recoveryFactory != null
        controllersDownUntil = context.now + time
        endTerm(time)
    }

    /** Ends the term of the leader that has resigned, and elects another after a second. */
    fun handleResignation(by: Scheduler) {
        if (scheduler === by) scheduler = null
        context.after(1.seconds) { electWhenStoreIsUp() }
    }

    /** Stores and returns the next fencing token. Returns null if [by] is not the leader or the store is down. */
    fun advanceToken(by: Scheduler): Long? {
        if (scheduler !== by || store.isDown) return null
        token++
        store.state.transact(emptyMap(), listOf(Put(Keys.TOKEN_COUNTER, mapOf("token" to token))), emptyList())
        return token
    }

    /** Runs the regular work of the leader. */
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

    /** Applies the store's changes since the last call to the scheduler. */
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

    /** Lets the leader, if there is one, process an event, and performs the resulting actions. */
    fun step(event: Scheduler.() -> Unit) {
        val leading = scheduler ?: return
        for (action in leading.step(context.now, context.now, event)) {
            context.trace?.addAction(context.now, action) { transactionOf(recordVersion, it) }
            perform(action, leading)
        }
    }

    /** Like [step], but only if the given scheduler is still that of the leader. */
    fun stepIfLeading(expected: Scheduler, event: Scheduler.() -> Unit) {
        if (scheduler === expected) step(event)
    }

    private fun traceWorkCounters() {
        scheduler?.let { context.trace?.addWorkCounters(it.workCounters) }
    }
}
