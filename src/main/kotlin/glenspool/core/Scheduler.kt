package glenspool.core

import glenspool.core.StopCause
import glenspool.core.autoscaling.Autoscaler
import glenspool.core.cluster.CommandQueue
import glenspool.core.cluster.FailureDetector
import glenspool.core.cluster.HeartbeatProcessor
import glenspool.core.cluster.ImageLocations
import glenspool.core.cluster.Machine
import glenspool.core.cluster.Orphans
import glenspool.core.cluster.OverdueMachine
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.JobDependencies
import glenspool.core.lifecycle.JobSupervisor
import glenspool.core.lifecycle.Placement
import glenspool.core.lifecycle.PlacementParts
import glenspool.core.lifecycle.PlacementStage
import glenspool.core.lifecycle.RecordMerger
import glenspool.core.lifecycle.RecordWriteScheduler
import glenspool.core.model.Command
import glenspool.core.model.FinalState
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.MachineType
import glenspool.core.model.Objective
import glenspool.core.model.Resources
import glenspool.core.model.StartTask
import glenspool.core.model.StoredPlacement
import glenspool.core.model.Team
import glenspool.core.placement.PlacementRound
import glenspool.core.placement.PlacementView
import glenspool.core.placement.Preemptor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** What the core needs to know of the deployment. */
data class SchedulerConfig(
    val teams: List<Team>,
    val objectives: List<Objective>,
    val zones: List<String>,
    val heartbeatInterval: Duration,
    val lease: Duration,
    val gangWait: Duration,
    val gangPeer: Duration,
    val cancellationDeadline: Duration,
    val listLag: Duration,
    val txnOps: Int,
    val writeRps: Double,
    /** The smaller of the limits for a value that hold now or may hold at any moment. */
    val valueBytes: Int,
    val tuning: Tuning,
    /** Other zones than this node's that have a controller: while one is cut off, its workers are served there. */
    val peerZones: Set<String> = emptySet(),
    /** Whether each placement and stop is told for the log. */
    val notes: Boolean = true,
)

/**
 * The leader's scheduling core: events and the time go in, [Action]s come out. It does no input or output and starts no
 * thread; one thread owns it. It is made anew at each take-over from the stored jobs. What it knows has one owner each:
 * [HeartbeatProcessor], [CommandQueue], [FailureDetector], [RecordWriteScheduler], [JobSupervisor], [Autoscaler].
 */
class Scheduler(
    val config: SchedulerConfig,
    token: Long,
    val startedAt: Duration,
    val hooks: SchedulerHooks = SchedulerHooks(),
) : PlacementView {
    var token = token
        private set

    /** Jobs whose tasks may run. Those that wait for others are [chains]' alone. */
    val jobs = LinkedHashMap<String, Job>()

    /**
     * Whether places may be stored apart from their job's record: only once no controller is of the version that reads
     * records alone. It would take tasks whose places it does not see for waiting ones.
     */
    val maySplit: Boolean get() = splittingWanted && !splittingForbidden
    private var splittingWanted = false

    /** The level of stored forms that allows it is not active, or is being left. */
    private var splittingForbidden = false
    val machines: Map<String, Machine> get() = fleet
    private val fleet = LinkedHashMap<String, Machine>()
    override var types: Map<String, MachineType> = emptyMap()
        private set
    override var commonType: MachineType? = null
        private set
    override val factor: Double get() = config.tuning.resourceFactor

    var now = startedAt
        private set
    private var wall = Duration.ZERO
    override val workCounters = WorkCounters()

    /** The orders that were given in this term. */
    val orderCounts = OrderCounts()
    private val teams = config.teams.associateBy { it.name }
    private val usage = HashMap<String, Resources>()
    private val actions = ArrayList<Action>()
    private val deleted = HashSet<String>()
    val images = ImageLocations(this)
    val commands = CommandQueue(this)
    val orphans = Orphans(this)
    private val observations = HeartbeatProcessor(this)
    private val failures = FailureDetector(this)
    private val storing = RecordWriteScheduler(this)
    val chains = JobDependencies(this)
    private val tending = JobSupervisor(this)
    private val merging = RecordMerger(this)
    private val capacity = Autoscaler(this)
    private val rooms = Preemptor(this)
    private var raising = false
    private var raisedAt = startedAt - 1000.seconds
    private var dirtyRound = true
    private var lastRound = startedAt - 1000.seconds

    val freshness: Duration get() = config.heartbeatInterval * 2.2 + 1.seconds

    /** What matching machines and tasks may take: rounds come the more rarely the larger the fleet is. */
    private val roundGap: Duration get() = maxOf(MIN_ROUND_GAP, ROUND_GAP_EACH * fleet.size)

    /** Runs [event] at the given time and returns what has to be done. */
    fun step(now: Duration, wall: Duration, event: Scheduler.() -> Unit): List<Action> {
        val gap = now - this.now
        this.now = now
        this.wall = wall
        if (gap > STALL) resumed(gap)
        event()
        if (dirtyRound && now - lastRound >= roundGap || now - lastRound >= config.tuning.roundPeriod) round()
        commands.flush()
        storing.flush()
        failures.flush()
        val result = actions.toList()
        actions.clear()
        return result
    }

    fun act(a: Action) {
        actions.add(a)
    }

    fun wantRound() {
        dirtyRound = true
    }

    // ---- events ----

    fun machineTypesKnown(list: List<MachineType>) {
        types = list.associateBy { it.name }
        recomputeCommonType()
    }

    /** A job record was read from the state service. Ours are only taken if they are newer than what we hold. */
    fun jobStored(record: JobRecord, version: Long) {
        val known = job(record.spec.id)
        if (known != null) {
            if (version > known.version) known.version = version
            return
        }
        val job =
            Job(record, version, PlacementParts(recordCapacity(record.spec), config.valueBytes - PlacementParts.PART_OVERHEAD), storing::touched)
        job.knownSince = now
        hooks.observer.jobRead(record)
        if (record.dependencies.isNotEmpty()) {
            chains.add(job, record.dependencies)
            chains.appeared(record.spec.id)
            return
        }
        jobs[record.spec.id] = job
        chains.appeared(record.spec.id)
        // Shelves are not all stored at the same moment: an older one may still name a task that has a newer place by
        // now.
        val places =
            record.placements.map { it to PlacementParts.RECORD } +
                record.placementParts.flatMap { (part, list) -> list.map { it to part } }
        val outdated = ArrayList<Int>()
        for (same in places.groupBy { it.first.task }.values) {
            val newest = same.maxBy { it.first.attempt }
            restorePlacement(job, newest.first, newest.second)
            (same - newest).mapTo(outdated) { it.second }
        }
        job.parts.clean()
        outdated.forEach(job.parts::touched)
        if (job.spec.kind == JobKind.GANG && job.placements.isNotEmpty()) {
            job.gangAttempt = job.placements.values.maxOf { it.attempt }
            job.gangStarted = true
        }
        orphans.adopt(job)
        if (job.complete) job.markDirty()
        capacity.arrived(job, now)
        dirtyRound = true
    }

    /** An earlier leader may have started it: it stays until the machine's report or its deletion proves it gone. */
    private fun restorePlacement(job: Job, i: StoredPlacement, part: Int) {
        val p = Placement(job, i.task, i.attempt, i.machine, now)
        p.step = PlacementStage.STORED
        p.startSent = now
        job.place(p, part)
        val m = fleet.getOrPut(i.machine) { Machine(i.machine, "", "", false, now).also { it.booting = false } }
        m.place(p)
        chargeUsage(job, +1)
    }

    /** A job that is not over, whether it waits for others or not. */
    fun job(id: String): Job? = jobs[id] ?: chains[id]

    /** All that the job needed is done: from now on it is like any other. */
    fun released(job: Job) {
        job.waitsForDependencies = false
        job.dependenciesDoneAt = wall
        job.knownSince = now
        jobs[job.spec.id] = job
        note {
            "ready task=${job.spec.id} class=${job.spec.jobClass} held-s=${(wall - job.submitted).toDouble(DurationUnit.SECONDS)}"
        }
        capacity.arrived(job, now)
        dirtyRound = true
    }

    /** How these jobs ended, as far as it could be read. */
    fun finalStatesRead(asked: List<String>, found: Map<String, FinalState>) = chains.answered(asked, found)

    /** Whether every controller was found to read places that are stored apart. */
    fun membersChecked(allNew: Boolean) {
        splittingWanted = splittingWanted || allNew
    }

    /**
     * Whether records must not be split, whatever else is known. What is split already is brought back, as far as it
     * fits.
     */
    fun splittingForbidden(forbidden: Boolean) {
        if (forbidden == splittingForbidden) return
        splittingForbidden = forbidden
        if (forbidden) merging.begin() else merging.end()
    }

    /** The state service refused a value for its size: its limits are lowered only when every controller is new. */
    fun limitsLowered() {
        splittingWanted = true
    }

    /** What an earlier leader knew of the machines' caches; taken over as each machine is heard. */
    fun imageLocationsRead(known: Map<String, Map<String, Double>>) = images.remember(known)

    fun jobCancelled(id: String, version: Long, at: Duration) {
        val job = job(id) ?: return
        job.markDirty()
        if (job.cancelled) {
            job.cancelVersion = version
            return
        }
        job.cancelVersion = version
        hooks.observer.jobCancelled(id)
        chains.cancelled(id)
        job.cancelledAt = now - maxOf(Duration.ZERO, wall - at)
        for (p in job.placements.values.toList()) {
            if (p.step == PlacementStage.PLANNED && !job.writeInFlight) drop(p) else stop(p, StopCause.CANCELLED, Duration.ZERO)
        }
        dirtyRound = true
    }

    /** The job's record is gone from the live jobs: it has its final state. */
    fun jobGone(id: String) {
        chains.gone(id)
        hooks.observer.jobEnded(id)
        val job = jobs.remove(id) ?: return
        job.finished = true
        for (p in job.placements.values.toList()) {
            drop(p)
        }
        dirtyRound = true
    }

    /** A report came by itself; the answer is what the worker shall do. */
    fun heartbeatReceived(r: Heartbeat): List<Command> {
        val m = observations.observe(r, HeartbeatSource.WORKER) ?: return emptyList()
        return if (m.trusted) observations.routine(m) else emptyList()
    }

    fun commandsEnded(machine: String, sent: SendCommands, outcome: CommandOutcome, heartbeat: Heartbeat?) {
        val m = machines[machine] ?: return
        commands.ended(m, sent, outcome)
        if (heartbeat != null) observations.observe(heartbeat, HeartbeatSource.DIRECT)
    }

    /** [asked]: false if the question was never sent, which says nothing of the machine. */
    fun probeEnded(machine: String, heartbeat: Heartbeat?, asked: Boolean = true) {
        val known = machines[machine]
        if (heartbeat == null || heartbeat.machine != machine) {
            if (asked && !overloaded) known?.markUnreachable(now)
            return
        }
        known?.markReachable(now)
        val m = observations.observe(heartbeat, HeartbeatSource.DIRECT) ?: return
        // A worker that reports to another node learns of this leader's token here.
        if (m.token < token && !m.requestInFlight && !m.isDeleting) commands.send(m, emptyList())
    }

    /** How long what is handled now has waited in this process. */
    var backlog: Duration = Duration.ZERO
        private set
    private var overloadedUntil = startedAt

    /**
     * Whether this process is too slow for what comes in, or was a short while ago. Its workers may have turned to
     * other nodes meanwhile, and answers may have come too late: neither silence nor a question without an answer says
     * much then.
     */
    val overloaded: Boolean get() = now < overloadedUntil

    /** Tells how far this process is behind with what comes in. */
    fun backlogMeasured(backlog: Duration) {
        this.backlog = backlog
        if (backlog >= OVERLOADED) overloadedUntil = now + config.lease * OVERLOAD_SHARE
    }

    /**
     * The process stood still or could not lead for that long: what was not heard meanwhile proves nothing. Without
     * this a leader that outlived an outage of the state service would take itself for deaf, and resign.
     */
    fun resumed(gap: Duration) {
        for (m in machines.values) {
            m.lastHeardAt = m.lastHeardAt?.let { minOf(now, it + gap) }
            m.lastHeartbeatAt = m.lastHeartbeatAt?.let { minOf(now, it + gap) }
            m.unreachableSince = m.unreachableSince?.let { minOf(now, it + gap) }
        }
    }

    fun addMachine(m: Machine): Machine = fleet.getOrPut(m.id) { m }

    fun wasDeleted(machine: String): Boolean = machine in deleted

    /** The whole list as the cloud gave it; it lags. */
    fun machinesListed(list: List<ListedMachine>) {
        val seen = HashSet<String>()
        for (l in list) {
            seen.add(l.id)
            if (l.id in deleted) continue
            val m = addMachine(Machine(l.id, l.type, l.zone, l.spot, now))
            if (m.type.isEmpty()) {
                m.type = l.type
                m.zone = l.zone
                m.spot = l.spot
            }
            if (m.addr.isEmpty()) m.addr = l.addr
            m.listed = true
            m.unlistedSince = null
            m.age = l.age
            if (!m.wasHeard) m.booting = l.stage == MachineStage.BOOTING
            if (l.stage == MachineStage.FAILED && !m.failed) {
                m.failed = true
                failures.delete(m, DeletionCause.FAILED)
            }
        }
        for (m in machines.values) {
            if (m.id !in seen && m.unlistedSince == null) m.unlistedSince = now
        }
        recomputeCommonType()
        hooks.observer.machinesListed(list, now)
        dirtyRound = true
    }

    fun scaleOutSucceeded(request: ScaleOut, names: List<String>) {
        for (id in names) {
            if (id !in deleted) addMachine(Machine(id, request.type, request.zone, request.spot, now))
        }
        capacity.answered(request, names.size, now)
    }

    fun scaleOutRefused(request: ScaleOut) = capacity.answered(request, 0, now)

    /** No answer: the same name is asked again, which rents nothing twice. */
    fun scaleOutUnanswered(request: ScaleOut) = capacity.unanswered(request, now)

    fun deletionEnded(ids: List<String>, ok: Boolean) {
        for (id in ids) {
            val m = machines[id] ?: continue
            if (!ok) {
                m.deletionSentAt = null
                m.nextRequestAt = now + 1.seconds
                continue
            }
            // The cloud's 200 is proof: the machine and all that was on it are gone.
            deleted.add(id)
            fleet.remove(id)
            hooks.observer.machineDeleted(id)
            for (p in m.placements.values.toList()) observations.gone(p, m, null)
            for (k in m.orphans.keys.toList()) orphans.drop(m, k)
        }
        dirtyRound = true
    }

    fun fencingTokenAdvanced(to: Long?) {
        raising = false
        if (to != null && to > token) {
            token = to
            raisedAt = now
        }
    }

    /**
     * While nobody can lead for want of the state service, cancelled work on machines out of reach still has to be gone
     * in time. To delete them is the one thing that is safe without leading: it starts nothing, and whoever leads next,
     * or already does, sees machines that are gone. It costs what else is on them, so only the last moment justifies
     * it, and only if the machine itself does not say that the work is gone.
     */
    fun overdueMachines(at: Duration): List<OverdueMachine> = failures.overdueMachines(at)

    fun storeEnded(outcome: StoreOutcome) = storing.ended(outcome)

    fun tick() {
        failures.look()
        for (j in jobs.values.toList()) tending.tend(j)
        if (commands.hasStaleStart()) raiseToken()
        capacity.tick(now)
        chains.ask(now)
        images.save(now)
        merging.advance()
    }

    // ---- what the parts share ----

    fun drop(p: Placement) {
        val job = p.job
        if (job.placementOf(p.task) !== p) return
        job.unplace(p.task)
        machines[p.machine]?.let { m ->
            m.unplace(p)
            if (m.pendingCommands.isNotEmpty()) {
                m.pendingCommands.removeIf {
                    it.key == p.key && it.attempt == p.attempt && it is StartTask
                }
            }
        }
        chargeUsage(job, -1)
        note { "off task=${p.key.job}/${p.task} attempt=${p.attempt} machine=${p.machine} was=${p.state}" }
        if (p.step == PlacementStage.PLANNED) job.storeSoon() else job.markDirty()
        if (job.placements.isEmpty()) job.gangAttempt = null
    }

    /** What one task of the job takes counts for its team, or no longer. */
    fun chargeUsage(job: Job, sign: Int) {
        usage.merge(job.spec.team, job.resourceRequest * sign) { x, y -> x + y }
    }

    fun note(important: Boolean = false, text: () -> String) {
        if (important || config.notes) actions.add(LogMessage(text(), important))
    }

    fun stop(p: Placement, cause: StopCause, grace: Duration) = commands.stop(p, cause, grace)

    fun returnMachine(m: Machine) = failures.delete(m, DeletionCause.NOT_NEEDED)

    fun rent(r: ScaleOut) {
        r.causes.forEach { (cause, number) -> orderCounts.add(cause, number) }
        act(r)
    }

    private fun raiseToken() {
        if (raising || now - raisedAt < config.lease / 2) return
        raising = true
        act(AdvanceFencingToken)
    }

    // ---- rounds ----

    private fun round() {
        lastRound = now
        dirtyRound = false
        workCounters.rounds++
        if (types.isEmpty()) return
        val open =
            jobs.values.filter {
                it.waitingCount() > 0 &&
                    it.notBefore.let { b -> b == null || now >= b } &&
                    it.waiting(1).isNotEmpty()
            }
        if (open.isNotEmpty()) {
            val ready = machines.values.filter { it.isReady(now, freshness) && it.type in types && fitForNewWork(it) }
            if (ready.isNotEmpty()) {
                rooms.clearCached(open, ready)
                PlacementRound(this, ready, open.filterNot { rooms.waitsForRoom(it, ready) }).run {
                    now - it.knownSince >
                        config.tuning.gangWaitBound
                }
                rooms.makeRoom(ready)
            }
        }
        capacity.plan(now)
    }

    /** See [SchedulerHooks.newWorkNeedsOwnReport]. */
    private fun fitForNewWork(m: Machine): Boolean = !hooks.newWorkNeedsOwnReport || m.lastHeartbeatAt.let { it != null && now - it <= freshness }

    /** How long a fetch of the job's image usually takes. */
    fun fetchTime(job: Job): Duration = (job.spec.imageGb / (commonType?.fetchGbPerS ?: 1.0).coerceAtLeast(0.01)).seconds

    /** Whether the aim for the job's class can be met only where its image is cached. */
    override fun requiresCachedImage(job: Job): Boolean {
        val within = waitBounds[job.spec.jobClass] ?: return false
        return fetchTime(job) > within
    }

    private val waitBounds: Map<String, Duration> =
        config.objectives
            .filter { it.kind == "wait" && it.jobClass != null }
            .associate { it.jobClass.orEmpty() to (it.within ?: Duration.INFINITE) }

    private fun recomputeCommonType() {
        val counts = machines.values.groupingBy { it.type }.eachCount()
        commonType = types.values.maxWithOrNull(compareBy<MachineType> { counts[it.name] ?: 0 }.thenBy { it.name })
    }

    override fun zoneOf(machine: String): String? = machines[machine]?.zone?.ifEmpty { null }

    override fun remainingQuota(job: Job): Int {
        val team = teams[job.spec.team] ?: return 0
        val used = usage[team.name] ?: Resources.ZERO

        fun room(max: Double?, used: Double, resourceRequest: Double): Int =
            if (max == null ||
                resourceRequest <= 0.0
            ) {
                Int.MAX_VALUE
            } else {
                ((max - used + Resources.EPS) / resourceRequest).toInt().coerceAtLeast(0)
            }
        return minOf(room(team.cpusMax, used.cpus, job.resourceRequest.cpus), room(team.gpusMax, used.gpus, job.resourceRequest.gpus))
    }

    override fun withinGuarantee(job: Job): Boolean {
        val team = teams[job.spec.team] ?: return false
        val used = (usage[team.name] ?: Resources.ZERO) + job.resourceRequest
        if (team.cpus <= 0.0 && team.gpus <= 0.0) return false
        return (team.cpus <= 0.0 || used.cpus <= team.cpus + Resources.EPS) &&
            (team.gpus <= 0.0 || used.gpus <= team.gpus + Resources.EPS)
    }

    override fun fastestType(jobClass: String): String? = observations.fastestType(jobClass)

    override fun place(job: Job, task: Int, machine: Machine, attempt: Long?) {
        val a = attempt ?: ++job.lastAttempt
        val p = Placement(job, task, a, machine.id, now)
        p.storedAt = job.storeSoon()
        job.place(p, maySplit = maySplit)
        machine.place(p)
        chargeUsage(job, +1)
        note {
            "place task=${job.spec.id}/$task attempt=$a class=${job.spec.jobClass} machine=${machine.id} cached=${machine.hasImage(job.spec.image)} waited=${now - job.knownSince}"
        }
    }

    override fun gangPlaced(job: Job) = tending.deferCached(job)

    override fun newGangAttempt(job: Job): Long {
        job.gangStarted = false
        return (++job.lastAttempt).also { job.gangAttempt = it }
    }

    /**
     * The latest time at which the job's next task should start to meet the first aim that it still can; jobs
     * that can meet none come last. Work that is late anyway must not make other work late. But nothing waits for
     * ever: a job that has waited past the bound goes before all others of its priority, oldest first, however
     * large it is and however much small work keeps arriving.
     */
    override fun order(job: Job): Duration {
        val s = job.spec
        val run = s.estimatedDuration * ESTIMATE_MARGIN
        val from = job.waitingSince
        if (wall - from > config.tuning.waitBound * (if (job.hasStarted) 2 else 1)) return from - HOPELESS
        // A deadline follows from an estimate that is often wrong: such a job is never written off.
        job.dueBy?.let { return latestStart(job, it) }
        for (b in finishBounds[s.jobClass] ?: listOf(60.seconds + run)) {
            val latest = from + b - run
            if (latest >= wall) return latest
        }
        return from + HOPELESS
    }

    /** When the job has to begin to be done by then; estimates are often too short. */
    fun latestStart(job: Job, due: Duration): Duration = due - job.spec.estimatedDuration * DEADLINE_MARGIN

    val finishBounds: Map<String, List<Duration>> =
        config.objectives
            .filter { it.kind == "finished" && it.jobClass != null && it.within != null }
            .groupBy({ it.jobClass.orEmpty() }, { it.within ?: Duration.ZERO })
            .mapValues { (_, l) -> l.sorted() }

    override fun recordCapacity(job: Job): Int = job.parts.room(maySplit)

    /** What a record has left for places. */
    private fun recordCapacity(spec: JobSpec): Int = maxOf(0, config.valueBytes - spec.recordBytes - PlacementParts.RECORD_OVERHEAD)

    /** Where a start of the job may still arrive late, another attempt of it would only meet that one. */
    override fun avoids(job: Job, machine: Machine): Boolean =
        machine.id in job.failedOn &&
            job.failedOn.size < 4 ||
            machine.unconfirmedStarts.any { it.key.job == job.spec.id } ||
            machine.reservedAgainst(job, now)

    override fun costPenalty(job: Job, machine: Machine): Int = if (job.spec.spot && !machine.spot) 1 else 0

    companion object {
        private val MIN_ROUND_GAP = 30.milliseconds
        private val ROUND_GAP_EACH = 200.microseconds
        private const val ESTIMATE_MARGIN = 1.15
        private const val DEADLINE_MARGIN = 1.3
        private val HOPELESS = 3600.seconds
        private val STALL = 3.seconds

        /**
         * A worker turns elsewhere after 4 s without an answer, and one whose answers take this long is not far from
         * it.
         */
        private val OVERLOADED = 1.seconds

        /**
         * The share of a lease for which the consequences last: a worker finds the way back to its leader in that time.
         */
        private const val OVERLOAD_SHARE = 0.6
        val GRACE_SLACK = 2.seconds
    }
}

/** Must agree with the stored form of job records. */
const val CHUNKED_ABOVE = 2048
const val CHUNK = 8192
