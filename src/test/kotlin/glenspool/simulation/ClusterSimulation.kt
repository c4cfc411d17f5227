package glenspool.simulation

import glenspool.api.DependencyResolver
import glenspool.api.FinalStates
import glenspool.controller.Transaction
import glenspool.controller.transactionOf
import glenspool.core.Action
import glenspool.core.AdvanceFencingToken
import glenspool.core.CommandOutcome
import glenspool.core.DeleteMachines
import glenspool.core.LogMessage
import glenspool.core.OrderCause
import glenspool.core.OrderKind
import glenspool.core.Probe
import glenspool.core.ReadFinalStates
import glenspool.core.Resign
import glenspool.core.ScaleOut
import glenspool.core.Scheduler
import glenspool.core.SchedulerConfig
import glenspool.core.SchedulerHooks
import glenspool.core.SendCommands
import glenspool.core.StartCause
import glenspool.core.StopCause
import glenspool.core.StoreChanges
import glenspool.core.StoreImageLocations
import glenspool.core.StoreOutcome
import glenspool.core.model.Command
import glenspool.core.model.ExitReason
import glenspool.core.model.FinalState
import glenspool.core.model.ForgetTask
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.MachineType
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.frozen.DecisionTrace
import glenspool.reconcile.RecoveryEngine
import glenspool.reconcile.RecoveryNotice
import glenspool.reconcile.StartKind
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreResult
import glenspool.wire.RecordWire
import glenspool.wire.StoreWire
import java.util.BitSet
import java.util.PriorityQueue
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How bad the world is. */
data class FaultRates(
    val lost: Double = 0.0,
    val held: Double = 0.0,
    val deaths: Double = 0.0,
    val cuts: Double = 0.0,
    val hangs: Double = 0.0,
    val takeovers: Double = 0.0,
    val outages: Double = 0.0,
    val notices: Double = 0.0,
    /** Machines whose reports arrive while no answer and no command reaches them. */
    val oneWay: Double = 0.0,
    /** Reports that arrive once more, seconds to well over a lease later. */
    val copies: Double = 0.0,
    /** The leader loses the state service and the other nodes, but keeps its workers and answers them. */
    val apart: Double = 0.0,
    /** A whole zone is cut off from everything but a controller of its own, which keeps its workers' leases. */
    val zoneCuts: Double = 0.0,
    /** Machines that are back within a fraction of a second, empty and counting from the beginning. */
    val restarts: Double = 0.0,
    /** Machines whose reports are lost, so that nobody answers them, while commands reach them. */
    val mute: Double = 0.0,
    /** Of the transactions without an answer, so many are carried out at once. */
    val atOnce: Double = 0.0,
    /** Reports of which a copy reaches the next leader as it begins. */
    val forNext: Double = 0.0,
    /** Some running jobs are cancelled at about the same moment, and some of their machines hang. */
    val storms: Double = 0.0,
    /** The cloud answers a deletion so many seconds late, at most. */
    val cloudLate: Int = 0,
    /** Of the leaders elected, so many are of the version in production, which knows nothing of jobs that wait. */
    val olds: Double = 0.0,
)

/** An order as a worker or the cloud received it. */
data class ReceivedOrder(val at: Duration, val cause: OrderCause) {
    val kind: OrderKind get() = cause.kind
}

/**
 * State service, cloud and workers in simulated time, round the real core, with a checker for every rule that
 * the core can break. Messages may be lost or held back for minutes; leaders are replaced while their commands
 * and transactions are still on their way.
 */
class ClusterSimulation(
    seed: Long,
    private val config: SchedulerConfig,
    private val types: List<MachineType>,
    private val faults: FaultRates,
    private val maxMachines: Int = 24,
    /** Makes the recovery of a term that begins like this; null: recovery is not managed. */
    private val recoverer: ((token: Long, at: Duration, kind: StartKind) -> RecoveryEngine)? = null,
    /** Is told of all that the leaders decide. */
    private val trace: DecisionTrace? = null,
) {
    private val random = Random(seed)

    private class Timed(val at: Duration, val order: Long, val body: () -> Unit)

    private val queue = PriorityQueue(compareBy<Timed> { it.at }.thenBy { it.order })
    private var order = 0L
    var now: Duration = Duration.ZERO
        private set
    val state = InMemoryStore().also { it.opsLimit = config.txnOps }
    private var token = 0L
    private var leadMark = 0L
    private var leader: Scheduler? = null
    private var stateDownUntil = Duration.ZERO
    private var applied = 0L
    private val stored = JobRecordReader(state)

    val specs = HashMap<String, JobSpec>()
    private val cancelled = HashMap<String, Duration>()
    val trulyDone = HashMap<String, BitSet>()
    val violations = ArrayList<String>()
    var starts = 0

    /** When the first task of each job was started. */
    val firstStart = HashMap<String, Duration>()
    private val told = HashMap<String, String>()

    private inner class Worker(val id: String, val type: MachineType, val zone: String, val spot: Boolean) {
        var incarnation = 1L
        var sequence = 0L
        var seen = 0L
        val tasks = LinkedHashMap<Slot, Task>()
        var up = false
        var gone = false
        var cutUntil = Duration.ZERO
        var hungUntil = Duration.ZERO
        var unreachedUntil = Duration.ZERO
        var muteUntil = Duration.ZERO

        /** Until then another node, which does not lead, answers its reports with its own token. */
        var keptUntil = Duration.ZERO

        /** Until then its zone is cut off, and the packets to it are held. */
        var zoneCutUntil = Duration.ZERO

        /** Counts restarts: what was on its way to the machine before is lost with its connections. */
        var life = 0
        var answered = now
        var recallAt: Duration? = null
        val images = HashSet<String>()
        val rentedAt = now
        val hanging get() = now < hungUntil

        fun heartbeat() =
            Heartbeat(
                id, "addr-$id", type.name, zone, spot, incarnation, ++sequence, seen, recallAt?.let { it - now },
                tasks.map { (k, t) -> TaskStatus(k.key, t.attempt, t.state, t.exit, false) },
            )
    }

    /** A worker knows its tasks by attempt, also those that ended, until it is told to forget them. */
    private data class Slot(val key: TaskKey, val attempt: Long) {
        val job get() = key.job
    }

    private class Task(val attempt: Long, var state: TaskState, var at: Duration, var exit: ExitReason? = null)

    private val workers = LinkedHashMap<String, Worker>()
    private val requests = HashMap<String, List<String>>()
    private var lists = ArrayList<Pair<Duration, List<ListedMachine>>>()
    private var serial = 0

    private fun after(d: Duration, body: () -> Unit) {
        queue.add(Timed(now + d, ++order, body))
    }

    private fun chance(p: Double) = random.nextDouble() < p

    private fun delay(): Duration = (2 + random.nextInt(20)).milliseconds

    fun addMachine(type: MachineType, zone: String, spot: Boolean, boot: Duration): String {
        val w = Worker("i-%06d".format(++serial), type, zone, spot)
        workers[w.id] = w
        after(boot) {
            w.up = true
            w.answered = now
            heartbeat(w)
        }
        return w.id
    }

    fun submit(spec: JobSpec, dependencies: List<String> = emptyList()) {
        specs[spec.id] = spec
        unrecorded.remove(spec.id)
        submitted[spec.id] = now
        if (dependencies.isNotEmpty()) dependenciesOf[spec.id] = dependencies
        trulyDone[spec.id] = BitSet()
        val record = RecordWire.encode(JobRecord(spec, now, 0, BitSet(), emptyList(), dependencies))
        store(mapOf(Keys.job(spec.id) to 0L, Keys.final(spec.id) to 0L), listOf(Put(Keys.job(spec.id), record)))
    }

    private val submitted = HashMap<String, Duration>()

    /** Jobs of which workers have tasks, though the state service knows nothing of them. */
    private val unrecorded = HashSet<String>()
    val dependenciesOf = HashMap<String, List<String>>()

    /**
     * The slow plain model: since when the job is aborted, because it or any job that it needs, directly or through
     * others, was cancelled and its user told so; null if it is not.
     */
    fun abortedSince(id: String): Duration? {
        val own = listOfNotNull(cancelled[id])
        val others = dependenciesOf[id].orEmpty().mapNotNull { abortedSince(it) }.map { maxOf(it, submitted.getValue(id)) }
        return (own + others).minOrNull()
    }

    /** As a node does it; true if the user was told so. */
    fun cancel(id: String): Boolean {
        if (now < stateDownUntil) return false
        val ok =
            store(
                mapOf(Keys.cancel(id) to 0L, Keys.final(id) to 0L),
                listOf(
                    Put(
                        Keys.cancel(id),
                        mapOf(
                            "at" to now.inWholeMilliseconds,
                        ),
                    ),
                ),
            )
        if (ok) cancelled[id] = now
        return ok
    }

    private fun store(conditions: Map<String, Long>, puts: List<Put>): Boolean {
        val ok = state.transact(conditions, puts, emptyList()) == null
        after(delay()) { feed() }
        return ok
    }

    /** Whether the present leader is of the version in production. */
    private var oldLeads = false

    /** Every controller is new: places may be stored apart, and no old one leads any more. */
    var allNew = false

    fun elect() {
        leader?.let { trace?.workCounters(it.workCounters) }
        oldLeads = !allNew && chance(faults.olds)
        val lease = state.newLease()
        token++
        state.transact(
            emptyMap(),
            listOf(
                Put(Keys.LEAD, mapOf("token" to token), lease),
                Put(
                    Keys.TERM,
                    mapOf(
                        "token" to token,
                    ),
                ),
            ),
            emptyList(),
        )
        leadMark = state.revision
        recovery =
            if (recoverer != null &&
                recoveryDue
            ) {
                recoverer.invoke(
                    token, now,
                    if (recovery?.isActive ==
                        true
                    ) {
                        StartKind.CONTINUED
                    } else {
                        StartKind.COLD
                    },
                )
            } else {
                null
            }
        val s = Scheduler(config, token, now, recovery?.hooks ?: SchedulerHooks())
        leader = s
        step {
            membersChecked(allNew)
            machineTypesKnown(this@ClusterSimulation.types)
            for ((k, e) in state.entries) if (k.startsWith(Keys.JOB)) change(StoreWire.Change(k, e.value, e.version))
            for ((k, e) in state.entries) if (k.startsWith(Keys.CANCEL)) change(StoreWire.Change(k, e.value, e.version))
        }
        applied = state.revision
        // Old reports arrive just as it begins, in any order.
        for (r in kept.shuffled(random)) after(random.nextInt(300).milliseconds) { step { heartbeatReceived(r) } }
        kept.clear()
    }

    /** The recovery of the present term, if one is under way. */
    var recovery: RecoveryEngine? = null
        private set

    /** Whether the next leader finds that all controllers were down, or goes on with a recovery. */
    private var recoveryDue = false
    val recoveryNotices = ArrayList<RecoveryNotice>()

    /** What workers carried out and the cloud was asked for, by kind and moment, as they saw it. */
    val received = ArrayList<ReceivedOrder>()

    private fun count(cause: OrderCause, orders: Int = 1) = repeat(orders) { received.add(ReceivedOrder(now, cause)) }

    private fun tickRecovery() {
        val engine = recovery ?: return
        engine.stateRead(now)
        recoveryNotices.addAll(engine.tick(now))
        recoveryDue = engine.isActive
    }

    private val kept = ArrayList<Heartbeat>()

    private fun Scheduler.change(c: StoreWire.Change) {
        val v = c.value
        if (c.key.startsWith(Keys.JOB)) {
            val id = c.key.removePrefix(Keys.JOB)
            if (v == null) {
                jobGone(id)
            } else {
                val seen = if (oldLeads) OldVersion.reads(v) else v
                if (seen != null) jobStored(stored.read(id, seen), c.version)
            }
        } else if (c.key.startsWith(Keys.CANCEL) && v != null) {
            jobCancelled(c.key.removePrefix(Keys.CANCEL), c.version, (v["at"] as Long).milliseconds)
        }
    }

    private fun feed() {
        if (now < stateDownUntil) return
        val fresh = state.log.filter { it.third > applied }
        applied = state.revision
        if (fresh.isNotEmpty()) step { fresh.forEach { (k, v, n) -> change(StoreWire.Change(k, v, n)) } }
    }

    private fun step(body: Scheduler.() -> Unit) {
        val s = leader ?: return
        for (action in s.step(now, now, body)) {
            trace?.action(now, action) { transactionOf(leadMark, it) }
            perform(action, s)
        }
    }

    private fun ifLeading(s: Scheduler, body: Scheduler.() -> Unit) {
        if (leader === s) step(body)
    }

    private fun perform(a: Action, s: Scheduler) {
        when (a) {
            is SendCommands -> direct(a, s)
            is Probe -> {
                val w = workers[a.machine]
                after(delay()) {
                    val r = if (w != null && reachable(w) && now >= w.unreachedUntil) w.heartbeat() else null
                    ifLeading(s) { probeEnded(a.machine, r) }
                }
            }
            is ScaleOut -> rent(a, s)
            is DeleteMachines -> {
                a.causes.values.forEach { count(it) }
                val fails = chance(faults.lost)
                after(
                    delay() * 5 +
                        (if (faults.cloudLate > 0) random.nextInt(faults.cloudLate).seconds else Duration.ZERO),
                ) {
                    if (!fails || chance(0.5)) a.machines.forEach { id -> workers.remove(id)?.let { it.gone = true } }
                    ifLeading(s) { deletionEnded(a.machines, !fails) }
                }
            }
            is AdvanceFencingToken ->
                after(delay()) {
                    val t = token + 1
                    val ok = leader === s && now >= stateDownUntil
                    if (ok) {
                        token = t
                        state.transact(emptyMap(), listOf(Put(Keys.TERM, mapOf("token" to t))), emptyList())
                    }
                    ifLeading(s) { fencingTokenAdvanced(if (ok) t else null) }
                }
            is ReadFinalStates ->
                after(delay()) {
                    val answered = now >= stateDownUntil && !chance(faults.lost)
                    val found = HashMap<String, FinalState>()
                    if (answered) for (id in a.jobs) (finalStates.read(id) as? FinalStates.Ended)?.let { found[id] = it.outcome.state }
                    ifLeading(s) { finalStatesRead(a.jobs, found) }
                }
            is StoreImageLocations -> check(a.images.values.none { it.isEmpty() })
            is Resign -> {
                if (leader === s) leader = null
                after(1.seconds) { electWhenUp() }
            }
            is LogMessage -> check(a.text.isNotEmpty())
            is StoreChanges -> write(a, s)
        }
    }

    private fun write(a: StoreChanges, s: Scheduler) {
        val t =
            transactionOf(leadMark, a).let {
                if (oldLeads) it.copy(puts = it.puts.map(OldVersion::rewrites)) else it
            }
        if (now < stateDownUntil) {
            after(delay()) { ifLeading(s) { storeEnded(StoreOutcome.Refused(emptySet())) } }
        } else if (t.puts.any(state::tooLarge)) {
            refusedForSize++
            after(delay()) { ifLeading(s) { storeEnded(StoreOutcome.TooLarge()) } }
        } else if (chance(faults.lost / 2)) {
            // No answer, and it is applied at once or much later, if its conditions still hold.
            if (chance(faults.atOnce)) {
                commit(t)
            } else if (chance(0.7)) {
                after(random.nextInt(20).seconds) { commit(t) }
            }
            after(1500.milliseconds) {
                feed()
                ifLeading(s) { storeEnded(StoreOutcome.Unknown) }
            }
        } else {
            after(delay()) {
                val failed = commit(t)
                val revision = state.revision
                after(delay()) {
                    if (failed != null) feed()
                    ifLeading(s) {
                        storeEnded(
                            if (failed ==
                                null
                            ) {
                                StoreOutcome.Stored(revision)
                            } else {
                                StoreOutcome.Refused(failed.toSet())
                            },
                        )
                    }
                }
            }
        }
    }

    var refusedForSize = 0
        private set

    private fun commit(t: Transaction): List<String>? {
        val failed = state.transact(t.conditions, t.puts, t.removes)
        if (failed == null) {
            for (p in t.puts) {
                if (!p.key.startsWith(Keys.FINAL)) continue
                val id = p.key.removePrefix(Keys.FINAL)
                if (p.value["end"] == "done" &&
                    (trulyDone.getValue(id).cardinality() < specs.getValue(id).tasks)
                ) {
                    violations += "not_done $id"
                }
                if (p.value["end"] == "cancelled" &&
                    abortedSince(id) == null
                ) {
                    violations += "went_back $id was not cancelled"
                }
            }
        }
        return failed
    }

    private fun rent(a: ScaleOut, s: Scheduler) {
        if (a.request !in requests) a.causes.forEach(::count)
        after(delay() * 10) {
            val names =
                requests[a.request] ?: run {
                    val n =
                        if (workers.size >= maxMachines) {
                            0
                        } else if (chance(0.2)) {
                            random.nextInt(a.count + 1)
                        } else {
                            a.count
                        }
                    val type = types.first { it.name == a.type }
                    List(n) {
                        // A few never come up.
                        val boot = if (chance(0.05)) 10_000.seconds else type.boot * (0.6 + random.nextDouble())
                        addMachine(type, a.zone, a.spot, boot)
                    }.also { if (n > 0) requests[a.request] = it }
                }
            if (chance(faults.lost)) {
                ifLeading(s) {
                    scaleOutUnanswered(a)
                }
            } else {
                ifLeading(s) { if (names.isEmpty()) scaleOutRefused(a) else scaleOutSucceeded(a, names) }
            }
        }
    }

    private fun reachable(w: Worker) = !w.gone && w.up && now >= w.cutUntil && now >= w.zoneCutUntil && !w.hanging

    private fun direct(a: SendCommands, s: Scheduler) {
        val w = workers[a.machine]
        if (w == null || w.gone || !w.up) {
            after(800.milliseconds) { ifLeading(s) { commandsEnded(a.machine, a, CommandOutcome.NOT_SENT, null) } }
            return
        }
        if (now < w.unreachedUntil) {
            after(3.seconds) {
                ifLeading(s) {
                    commandsEnded(a.machine, a, if (chance(0.5)) CommandOutcome.UNKNOWN else CommandOutcome.NOT_SENT, null)
                }
            }
            return
        }
        val life = w.life
        val held = now < w.cutUntil || now < w.zoneCutUntil || w.hanging || chance(faults.held)
        if (held) {
            // Delivered when the cut ends or minutes late, though the sender has long given up.
            val late =
                maxOf(w.cutUntil - now, w.zoneCutUntil - now, w.hungUntil - now, Duration.ZERO) +
                    random.nextInt(60).seconds
            after(late) { if (!w.gone && !w.hanging && w.life == life) execute(w, a) }
            after(3.seconds) { ifLeading(s) { commandsEnded(a.machine, a, CommandOutcome.UNKNOWN, null) } }
            return
        }
        after(delay()) {
            if (!w.gone && !w.hanging && w.life == life) {
                val ok = execute(w, a)
                val heartbeat = w.heartbeat()
                if (chance(faults.lost)) {
                    after(3.seconds) { ifLeading(s) { commandsEnded(a.machine, a, CommandOutcome.UNKNOWN, null) } }
                } else {
                    after(delay()) {
                        ifLeading(s) {
                            commandsEnded(a.machine, a, if (ok) CommandOutcome.DONE else CommandOutcome.REFUSED, heartbeat)
                        }
                    }
                }
            } else {
                after(3.seconds) { ifLeading(s) { commandsEnded(a.machine, a, CommandOutcome.UNKNOWN, null) } }
            }
        }
    }

    private fun execute(w: Worker, a: SendCommands): Boolean {
        if (a.token < w.seen || a.incarnation != w.incarnation) return false
        w.seen = a.token
        a.commands.forEach { command(w, it) }
        return true
    }

    private fun command(w: Worker, c: Command) {
        val slot = Slot(c.key, c.attempt)
        val t = w.tasks[slot]
        when (c) {
            is StartTask ->
                if (t == null) {
                    count(c.cause)
                    w.tasks[slot] = start(w, c)
                }
            is StopTask ->
                if (t != null && t.exit == null) {
                    count(c.cause)
                    exit(t, ExitReason.STOPPED)
                }
            is ForgetTask -> if (t != null && t.exit != null) w.tasks.remove(slot)
        }
    }

    private fun start(w: Worker, c: StartTask): Task {
        val spec = specs[c.key.job]
        if (spec == null || c.key.task >= spec.tasks) return Task(c.attempt, TaskState.EXITED, now, ExitReason.UNKNOWN)
        val live = w.tasks.filterValues { it.exit == null }
        if (live.keys.any { it.key == c.key }) return Task(c.attempt, TaskState.EXITED, now, ExitReason.ALREADY_PRESENT)
        val available = live.keys.map { specs.getValue(it.job).resourceRequest }.fold(spec.resourceRequest) { x, y -> x + y }
        if (!available.fitsIn(w.type.capacity)) return Task(c.attempt, TaskState.EXITED, now, ExitReason.INSUFFICIENT_RESOURCES)
        check(c, spec, w)
        val fetch =
            if (spec.image in
                w.images
            ) {
                Duration.ZERO
            } else {
                (spec.imageGb / w.type.fetchGbPerS).seconds * (0.7 + 0.6 * random.nextDouble())
            }
        starts++
        firstStart.putIfAbsent(c.key.job, now)
        return Task(c.attempt, TaskState.FETCHING, now + fetch)
    }

    /** The rules that a start can break. */
    private fun check(c: StartTask, spec: JobSpec, w: Worker) {
        val on =
            workers.values.flatMap { x ->
                x.tasks.entries
                    .filter { it.value.exit == null }
                    .map { Triple(x, it.key.key, it.value) }
            }
        if (on.any { (_, k, _) -> k == c.key }) violations += "$now ran_twice ${c.key}"
        if (spec.types != null &&
            w.type.name !in spec.types ||
            spec.zone != null &&
            spec.zone != w.zone ||
            w.spot &&
            !spec.spot
        ) {
            violations += "$now wrong_place ${c.key} on ${w.id}"
        }
        val mates = on.filter { (_, k, _) -> k.job == spec.id }
        if (spec.sameZone &&
            mates.any { (x, _, _) -> x.zone != w.zone }
        ) {
            violations += "$now wrong_place same zone ${c.key}"
        }
        if (spec.spread &&
            mates.count { (x, _, _) -> x.zone == w.zone } + 1 > spec.maxTasksPerZone
        ) {
            violations +=
                "$now wrong_place spread ${c.key}"
        }
        val team = config.teams.first { it.name == spec.team }
        val used =
            on
                .filter { (_, k, _) ->
                    specs.getValue(k.job).team == spec.team
                }.sumOf { (_, k, _) ->
                    specs.getValue(k.job).resourceRequest.gpus
                } +
                spec.resourceRequest.gpus
        if (team.gpusMax != null && used > team.gpusMax + 1e-6) violations += "$now quota ${spec.team}: $used"
        val told = cancelled[spec.id]
        if (told != null && now - told > config.cancellationDeadline) violations += "$now ran_cancelled start ${c.key}"
        for (n in dependenciesOf[spec.id].orEmpty()) if (end(n) != "done") violations += "$now too_early ${c.key} before $n"
    }

    private fun exit(t: Task, e: ExitReason) {
        t.state = TaskState.EXITED
        t.exit = e
    }

    private fun heartbeat(w: Worker) {
        if (w.gone) return
        after(config.heartbeatInterval * (0.75 + random.nextDouble() / 2)) { heartbeat(w) }
        if (w.hanging) return
        if (now - w.answered > config.lease) {
            w.tasks.clear()
            w.incarnation++
            w.answered = now
        }
        if (now < w.cutUntil || now < w.muteUntil || chance(faults.lost)) return
        val sent = now
        val r = w.heartbeat()
        val s = if (now < w.keptUntil) null else leader
        if (chance(faults.forNext)) kept.add(r)
        if (chance(faults.copies)) after((1 + random.nextInt(COPIES_LATE)).seconds) { step { heartbeatReceived(r) } }
        after(delay()) {
            if (now < awayUntil) return@after
            if (s == null || leader !== s || w.gone) {
                // No leader is known where it reports: that node keeps the lease with the worker's own token.
                if (r.incarnation == w.incarnation && now >= w.unreachedUntil) w.answered = sent
                return@after
            }
            var commands: List<Command> = emptyList()
            step { commands = heartbeatReceived(r) }
            val answerToken = s.token
            trace?.answer(now, w.id, answerToken, commands)
            after(delay()) {
                if (w.gone ||
                    w.hanging ||
                    now < w.cutUntil ||
                    now < w.unreachedUntil ||
                    r.incarnation != w.incarnation ||
                    answerToken < w.seen
                ) {
                    return@after
                }
                w.seen = answerToken
                w.answered = sent
                commands.forEach { command(w, it) }
            }
        }
    }

    /**
     * What a node would tell a user of the job now, and whether it may: nothing accepted is unknown, nothing that
     * nobody submitted is known, and what was told of an end is never taken back.
     */
    private fun ask(id: String) {
        if (id in unrecorded) return
        val answer = end(id) ?: if (Keys.cancel(id) in state.entries) "cancelled" else liveAnswer(id)
        if (id !in specs) {
            if (answer != "unknown") violations += "$now invented $id"
            return
        }
        if (answer == "unknown") violations += "$now forgotten $id"
        val before = told.put(id, answer)
        if (before != null &&
            before != "live" &&
            before != answer
        ) {
            violations += "$now went_back $id from $before to $answer"
        }
        val aborted = abortedSince(id)
        if (answer == "cancelled" && aborted == null) violations += "$now went_back $id was not cancelled"
        // An answer is worked out from the records, so it need not wait for anybody to store it.
        if (answer == "live" && aborted != null) violations += "$now orphaned $id"
    }

    private val finalStates = FinalStates { key -> state.get(key)?.let { StoreResult.Ok(it) } ?: StoreResult.Missing }
    private val dependencyResolver = DependencyResolver(state, stored, finalStates)

    private fun liveAnswer(id: String): String {
        val record = state.get(Keys.job(id)) ?: return "unknown"
        val dependencies = stored.read(id, record.value).dependencies
        return if (dependencies.isNotEmpty() && dependencyResolver.resolve(dependencies) is DependencyResolver.Aborted) "cancelled" else "live"
    }

    /** What happens by itself on the machines, and the rules that hold at every moment. */
    private fun live() {
        for (w in workers.values) {
            if (w.hanging) continue
            for ((k, t) in w.tasks) advance(w, k.key, t)
        }
        gangs()
        for (w in workers.values) {
            for ((k, t) in w.tasks) {
                val told = cancelled[k.job]
                if (t.exit == null &&
                    told != null &&
                    now - told > config.cancellationDeadline
                ) {
                    violations += "$now ran_cancelled ${k.key} on ${w.id}"
                }
            }
        }
    }

    private fun advance(w: Worker, k: TaskKey, t: Task) {
        if (t.exit != null || now < t.at) return
        val spec = specs.getValue(k.job)
        if (t.state == TaskState.FETCHING) {
            w.images.add(spec.image)
            t.state = if (spec.kind == JobKind.GANG) TaskState.WAITING else TaskState.RUNNING
            t.at = now + if (spec.kind == JobKind.GANG) config.gangWait else spec.estimatedDuration
        } else if (t.state == TaskState.RUNNING && spec.kind == JobKind.ARRAY) {
            trulyDone.getValue(k.job).set(k.task)
            exit(t, ExitReason.DONE)
        } else if (t.state == TaskState.WAITING) {
            exit(t, ExitReason.GANG_INCOMPLETE)
        }
    }

    private fun gangs() {
        val all =
            workers.values.flatMap { w -> w.tasks.entries.map { Triple(w, it.key.key, it.value) } }.filter {
                specs.getValue(it.second.job).kind ==
                    JobKind.GANG
            }
        for ((group, members) in all.groupBy { it.second.job to it.third.attempt }) {
            val spec = specs.getValue(group.first)
            val waiting = members.filter { it.third.state == TaskState.WAITING }
            val running = members.filter { it.third.state == TaskState.RUNNING }
            if (waiting.size == spec.tasks) {
                waiting.forEach {
                    it.third.state = TaskState.RUNNING
                    it.third.at = now + spec.estimatedDuration
                }
            } else if (running.size == spec.tasks && running.all { (w, _, t) -> !w.hanging && now >= t.at }) {
                // They complete together.
                running.forEach { (_, k, t) ->
                    trulyDone.getValue(k.job).set(k.task)
                    exit(t, ExitReason.DONE)
                }
            } else if (running.isNotEmpty() && running.size < spec.tasks) {
                running.forEach { exit(it.third, ExitReason.GANG_BROKEN) }
            }
        }
    }

    private fun weatherNow() {
        val w =
            workers.values.filter { it.up }.let { if (it.isEmpty()) null else it[random.nextInt(it.size)] } ?: return
        if (chance(faults.deaths)) {
            w.gone = true
            workers.remove(w.id)
        }
        if (chance(faults.cuts)) w.cutUntil = now + (5 + random.nextInt(40)).seconds
        if (chance(faults.oneWay)) w.unreachedUntil = now + (5 + random.nextInt(60)).seconds
        if (chance(faults.mute)) w.muteUntil = now + (5 + random.nextInt(60)).seconds
        if (chance(faults.storms)) storm(8, hang = true)
        if (chance(faults.restarts)) {
            w.life++
            w.tasks.clear()
            w.images.clear()
            w.incarnation = 1
            w.sequence = 0
            w.seen = 0
        }
        if (chance(faults.apart)) {
            // The old leader is cut off with most of the workers; they are served there until they find the new one.
            leader = null
            for (x in workers.values) if (chance(0.8)) x.keptUntil = now + (5 + random.nextInt(30)).seconds
            after((1 + random.nextInt(6)).seconds) { electWhenUp() }
        }
        if (chance(faults.zoneCuts)) cutZone(w.zone, (10 + random.nextInt(50)).seconds)
        if (chance(faults.hangs)) w.hungUntil = now + (2 + random.nextInt(20)).seconds
        if (chance(faults.notices) && w.spot && w.recallAt == null) {
            w.recallAt = now + 10.seconds
            after(10.seconds) {
                w.gone = true
                workers.remove(w.id)
            }
        }
        if (chance(faults.takeovers)) {
            leader = null
            after((1 + random.nextInt(6)).seconds) { electWhenUp() }
        }
        if (chance(faults.outages)) stateDownUntil = now + (3 + random.nextInt(15)).seconds
    }

    /** Cancels up to [most] jobs that have work on machines, and lets some of those machines hang. */
    fun storm(most: Int, hang: Boolean) {
        val running =
            workers.values
                .flatMap { w ->
                    w.tasks.entries.filter { it.value.exit == null }.map {
                        it.key.job to
                            w
                    }
                }.groupBy({ it.first }, { it.second })
        for ((job, on) in running.entries.shuffled(random).take(most)) {
            after(random.nextInt(200).milliseconds) {
                if (cancel(job) &&
                    hang &&
                    chance(0.5)
                ) {
                    on.forEach { it.hungUntil = now + (5 + random.nextInt(50)).seconds }
                }
            }
        }
    }

    /** The leader ends; its messages stay on their way. [span]: until another is elected. */
    fun changeLeader(span: Duration) {
        leader?.let { trace?.workCounters(it.workCounters) }
        leader = null
        after(span) { electWhenUp() }
    }

    /** Nobody answers workers, nor commands anything, for that long. */
    fun allAway(span: Duration) {
        recoveryDue = recoverer != null
        awayUntil = now + span
        changeLeader(span)
    }

    private var awayUntil = Duration.ZERO

    /** The state service is out for that long. */
    fun outage(span: Duration) {
        stateDownUntil = now + span
    }

    /** Picks machines that are up and does something to them. */
    fun trouble(share: Double, what: Fault, span: Duration) {
        for (w in workers.values.filter { it.up && chance(share) }) {
            when (what) {
                Fault.CUT -> w.cutUntil = now + span
                Fault.HANG -> w.hungUntil = now + span
                Fault.DEAF -> w.unreachedUntil = now + span
                Fault.MUTE -> w.muteUntil = now + span
                Fault.DIE -> {
                    w.gone = true
                    workers.remove(w.id)
                }
            }
        }
    }

    /** Names of machines that are up, in the order in which they were added. */
    val machineNames: List<String> get() = workers.values.filter { it.up }.map { it.id }

    /** The tasks that run on a machine. */
    fun tasksOn(machine: String): List<TaskKey> =
        workers[machine]
            ?.tasks
            .orEmpty()
            .filterValues { it.exit == null }
            .keys
            .map { it.key }

    /** A task that nobody ordered. [spec]: known to the worker, whatever the state service knows. */
    fun plantTask(machine: String, spec: JobSpec, task: Int, attempt: Long) {
        if (spec.id !in specs) unrecorded.add(spec.id)
        specs.putIfAbsent(spec.id, spec)
        trulyDone.putIfAbsent(spec.id, BitSet())
        workers.getValue(machine).tasks[Slot(TaskKey(spec.id, task), attempt)] =
            Task(attempt, TaskState.RUNNING, now + 10_000.seconds)
    }

    /** Stops a task and starts it again, as a scheduler would that takes it for something else. */
    fun restart(machine: String, key: TaskKey) {
        val w = workers.getValue(machine)
        val attempt =
            w.tasks
                .filter { (slot, task) -> slot.key == key && task.exit == null }
                .keys
                .single()
                .attempt
        command(w, StopTask(key, attempt, Duration.ZERO, StopCause.ORPHANED))
        command(w, StartTask(key, attempt + 1, StartCause.PLACED))
    }

    /** The machine's lease ends, with all that is on it. */
    fun endLease(machine: String) {
        val w = workers.getValue(machine)
        w.tasks.clear()
        w.incarnation++
        w.answered = now
    }

    /** Nothing is heard from the machine for that long, and nothing reaches it. */
    fun cut(machine: String, span: Duration) {
        workers.getValue(machine).cutUntil = now + span
    }

    /** The machine's reports are lost for that long, while commands reach it. */
    fun mute(machine: String, span: Duration) {
        workers.getValue(machine).muteUntil = now + span
    }

    /** The cloud takes the machine. */
    fun take(machine: String) {
        workers.remove(machine)?.gone = true
    }

    enum class Fault { CUT, HANG, DEAF, MUTE, DIE }

    /**
     * Its workers are served by the controller there, which leads nobody; if the leader was there, another is elected.
     */
    fun cutZone(zone: String, span: Duration) {
        for (x in workers.values) {
            if (x.zone != zone) continue
            x.zoneCutUntil = now + span
            x.keptUntil = now + span
        }
    }

    private fun electWhenUp() {
        if (leader != null) return
        if (now < stateDownUntil) after(1.seconds) { electWhenUp() } else elect()
    }

    private fun list() {
        val all =
            workers.values.map { w ->
                ListedMachine(
                    w.id, "addr-${w.id}", w.type.name, w.zone, w.spot, if (w.up) MachineStage.RUNNING else MachineStage.BOOTING,
                    now - w.rentedAt,
                )
            }
        lists.add(now to all)
        lists.removeIf { now - it.first > config.listLag * 3 }
        val lag = config.listLag * (0.5 + random.nextDouble() * 1.5)
        val old = lists.lastOrNull { now - it.first >= lag }?.second ?: return
        if (leader != null) step { machinesListed(old) }
    }

    /** Runs until the given time. [calm]: the weather is over, and everything can come to its end. */
    fun run(until: Duration, calm: Boolean = false) {
        while (now < until) {
            val next = queue.peek()
            val tickAt = now + TICK
            if (next != null && next.at <= tickAt) {
                queue.poll()
                now = maxOf(now, next.at)
                next.body()
                continue
            }
            now = tickAt
            live()
            if (leader != null && now >= stateDownUntil) {
                feed()
                step {
                    membersChecked(allNew && !oldLeads)
                    tick()
                }
                tickRecovery()
            }
            val l = leader
            if (l != null && now < stateDownUntil) {
                for (o in l.overdueMachines(now)) {
                    val w = workers[o.machine] ?: continue
                    if (reachable(w) &&
                        now >= w.unreachedUntil &&
                        w.tasks.none { it.key.job in o.jobs && it.value.exit == null }
                    ) {
                        continue
                    }
                    after(delay() * 5) {
                        workers.remove(o.machine)?.gone = true
                        ifLeading(l) { deletionEnded(listOf(o.machine), true) }
                    }
                }
            }
            if (ticks++ % 5 == 0) {
                list()
                specs.keys.forEach(::ask)
                ask("nobody-submitted-$ticks")
            }
            if (!calm && ticks % 5 == 0) weatherNow()
            if (calm && ticks % 5 == 0) {
                specs.values.forEach(::waitsInVain)
            } else if (!calm) {
                waitingSince.clear()
            }
        }
    }

    private var ticks = 0
    private val waitingSince = HashMap<String, Duration>()

    /**
     * Once all troubles are over, no job waits for 90 s while a machine that it may use has room and its team is under
     * its limit.
     */
    private fun waitsInVain(spec: JobSpec) {
        val on =
            workers.values.flatMap { x ->
                x.tasks.entries
                    .filter { it.value.exit == null }
                    .map { it.key.key }
            }
        val there = on.filter { it.job == spec.id }.map { it.task }.toSet()
        val left = (0 until spec.tasks).count { it !in there && !trulyDone.getValue(spec.id)[it] }
        val team = config.teams.first { it.name == spec.team }
        val used = on.sumOf { k -> specs.getValue(k.job).let { if (it.team == spec.team) it.resourceRequest.gpus else 0.0 } }
        // Gangs, and jobs bound by where their other tasks are, may wait for more than one place.
        val simple =
            spec.kind != JobKind.GANG &&
                !spec.sameZone &&
                !spec.spread &&
                dependenciesOf[spec.id].orEmpty().all { end(it) == "done" }
        val open =
            left > 0 &&
                live(spec.id) &&
                abortedSince(spec.id) == null &&
                team.gpusMax.let { it == null || used + spec.resourceRequest.gpus <= it + 1e-6 }
        val available =
            simple &&
                open &&
                workers.values.any { w ->
                    val busy =
                        w.tasks.entries
                            .filter { it.value.exit == null }
                            .map { specs.getValue(it.key.job).resourceRequest }
                            .fold(spec.resourceRequest) { x, y ->
                                x +
                                    y
                            }
                    w.up &&
                        w.recallAt == null &&
                        !w.hanging &&
                        busy.fitsIn(w.type.capacity) &&
                        (spec.types == null || w.type.name in spec.types) &&
                        (spec.zone == null || spec.zone == w.zone) &&
                        (spec.spot || !w.spot)
                }
        if (!available) {
            waitingSince.remove(spec.id)
        } else if (now - waitingSince.getOrPut(spec.id) { now } > 90.seconds) {
            violations += "$now waits_in_vain ${spec.id}: ${describe(spec.id)}"
            waitingSince.remove(spec.id)
        }
    }

    fun end(id: String): String? = state.entries[Keys.final(id)]?.value?.get("end") as String?

    /** What the leader believes of a job, for failure messages. */
    fun describe(id: String): String {
        val j = leader?.jobs?.get(id) ?: return "unknown to the leader"
        val where =
            j.placements.values.joinToString { p ->
                val m = leader?.machines?.get(p.machine)
                "$p@${p.machine} ${p.stage}/${p.taskState} sent=${p.startSentAt} stop=${p.stopCause} trusted=${m?.isTrusted} " +
                    "heard=${m?.reachability?.lastHeardAt} deleting=${m?.isDeleting} " +
                    "starts=${m?.requests?.unconfirmedStarts} inFlight=${m?.requests?.isInFlight}"
            }
        return "now=$now ${j.storeState} version=${j.version} orphans=${j.orphans} " +
            "waiting=${j.waitingTasks(9)} retryAfter=${j.retryAfter} failedOn=${j.failedOn} $where"
    }

    /** Whether the job waits for its team's limit alone. */
    fun teamIsFull(id: String) = leader?.let { l -> l.jobs[id]?.let { l.remainingQuota(it) } } == 0

    fun live(id: String) = Keys.job(id) in state.entries

    fun runningReplicas(id: String) =
        workers.values.sumOf { w ->
            w.tasks.count {
                it.key.job == id &&
                    it.value.state == TaskState.RUNNING
            }
        }

    companion object {
        private val TICK = 200.milliseconds

        /** In seconds; the lease of the stand-ins' deployment is 16 s. */
        private const val COPIES_LATE = 50
    }
}
