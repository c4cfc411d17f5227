package glenspool.core

import glenspool.core.capacity.Capacity
import glenspool.core.cluster.LooseStart
import glenspool.core.cluster.Machine
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.lifecycle.Step
import glenspool.core.lifecycle.StopReason
import glenspool.core.model.Amount
import glenspool.core.model.Command
import glenspool.core.model.Exit
import glenspool.core.model.ForgetTask
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.MachineType
import glenspool.core.model.Objective
import glenspool.core.model.Report
import glenspool.core.model.ReportedTask
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.Team
import glenspool.core.placement.RoomMaker
import glenspool.core.placement.Round
import glenspool.core.placement.RoundView
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the core needs to know of the deployment. */
data class SchedulerConfig(
    val teams: List<Team>,
    val objectives: List<Objective>,
    val zones: List<String>,
    val report: Duration,
    val lease: Duration,
    val gangWait: Duration,
    val gangPeer: Duration,
    val cancel: Duration,
    val listLag: Duration,
    val txnOps: Int,
    val valueBytes: Int,
    val tuning: Tuning,
)

/**
 * The leader's scheduling core: events and the time go in, [Action]s come out. It does no input or output and
 * starts no thread; one thread owns it. It is made anew at each take-over from the stored jobs.
 */
class Scheduler(val config: SchedulerConfig, token: Long, private val startedAt: Duration) : RoundView {
    var token = token
        private set
    val jobs = LinkedHashMap<String, Job>()
    val machines = LinkedHashMap<String, Machine>()
    override var types: Map<String, MachineType> = emptyMap()
        private set
    override var commonType: MachineType? = null
        private set
    override val factor: Double get() = config.tuning.resourceFactor

    private val teams = config.teams.associateBy { it.name }
    private val usage = HashMap<String, Amount>()
    private val actions = ArrayList<Action>()
    private val deleted = HashSet<String>()
    private val typeRuns = HashMap<String, HashMap<String, Double>>()
    private val capacity = Capacity(this)
    private val rooms = RoomMaker(this)
    var now = startedAt
        private set
    private var wall = Duration.ZERO
    private var storeBusy = false
    private var storePause = Duration.ZERO
    private var raising = false
    private var raisedAt = startedAt - 1000.seconds
    private var dirtyRound = true
    private var lastRound = startedAt - 1000.seconds
    private var storing: List<JobWrite> = emptyList()

    val freshness: Duration get() = config.report * 2.2 + 1.seconds
    private val silence: Duration get() = maxOf(config.lease * config.tuning.silenceShare, config.report * 2.5)

    /** Runs [event] at the given time and returns what has to be done. */
    fun step(now: Duration, wall: Duration, event: Scheduler.() -> Unit): List<Action> {
        val gap = now - this.now
        this.now = now
        this.wall = wall
        if (gap > STALL) forgiveGap(gap)
        event()
        if (dirtyRound && now - lastRound >= MIN_ROUND_GAP || now - lastRound >= config.tuning.roundPeriod) round()
        flushOrders()
        flushStore()
        val result = actions.toList()
        actions.clear()
        return result
    }

    // ---- events ----

    fun typesKnown(list: List<MachineType>) {
        types = list.associateBy { it.name }
        recomputeCommonType()
    }

    /** A job record was read from the state service. Ours are only taken if they are newer than what we hold. */
    fun jobStored(record: JobRecord, version: Long) {
        val known = jobs[record.spec.id]
        if (known != null) {
            if (version > known.version) known.version = version
            return
        }
        val job = Job(record, version)
        job.seenAt = now
        jobs[record.spec.id] = job
        for (i in record.intents) {
            // An earlier leader may have started it: it stays until the machine's report or its deletion proves it gone.
            val p = Placement(job, i.task, i.attempt, i.machine, now)
            p.step = Step.ORDERED
            p.startSent = now
            job.placements[i.task] = p
            val m = machines.getOrPut(i.machine) { Machine(i.machine, "", "", false, now).also { it.booting = false } }
            m.placements[p.key] = p
            charge(job, +1)
        }
        if (job.spec.kind == JobKind.GANG && record.intents.isNotEmpty()) {
            job.gangAttempt = record.intents.maxOf { it.attempt }
            job.gangStarted = true
        }
        capacity.arrived(job, now)
        dirtyRound = true
    }

    /** What an earlier leader knew of the machines' caches; taken over as each machine is heard. */
    fun imagesRemembered(images: Map<String, Map<String, Double>>) {
        remembered = images
        savedImages = images
    }

    private var remembered: Map<String, Map<String, Double>> = emptyMap()
    private var savedImages: Map<String, Map<String, Double>> = emptyMap()
    private var imagesSavedAt = startedAt

    private fun saveImages() {
        if (now - imagesSavedAt < IMAGES_PERIOD) return
        var left = config.valueBytes * 3 / 4
        val images = LinkedHashMap<String, Map<String, Double>>()
        for (m in machines.values) {
            val own = if (m.trusted && !m.deleting) m.cachedImages().toMap() else continue
            left -= m.id.length + BYTES_PER_ENTRY + own.keys.sumOf { it.length + BYTES_PER_ENTRY }
            if (own.isEmpty() || left < 0) continue
            images[m.id] = own
        }
        if (images == savedImages) return
        imagesSavedAt = now
        savedImages = images
        actions.add(SaveImages(images))
    }

    fun jobCancelled(id: String, version: Long, at: Duration) {
        val job = jobs[id] ?: return
        if (job.cancelled) {
            job.cancelVersion = version
            return
        }
        job.cancelVersion = version
        job.cancelledAt = now - maxOf(Duration.ZERO, wall - at)
        for (p in job.placements.values.toList()) {
            if (p.step == Step.INTENDED && !job.writing) drop(p) else stop(p, StopReason.CANCELLED, Duration.ZERO)
        }
        dirtyRound = true
    }

    /** The job's record is gone from the live jobs: it has its final state. */
    fun jobGone(id: String) {
        val job = jobs.remove(id) ?: return
        job.finished = true
        for (p in job.placements.values.toList()) {
            drop(p)
        }
        dirtyRound = true
    }

    /** A report came by itself; the answer is what the worker shall do. */
    fun reported(r: Report): List<Command> {
        if (r.machine in deleted) return emptyList()
        val m = observe(r) ?: return emptyList()
        return if (m.trusted) routine(m) else emptyList()
    }

    fun directEnded(machine: String, sent: Direct, outcome: DirectOutcome, report: Report?) {
        val m = machines[machine] ?: return
        m.directBusy = false
        when (outcome) {
            DirectOutcome.DONE, DirectOutcome.REFUSED, DirectOutcome.NOT_SENT -> {
                m.loose.removeIf { l -> l.token == sent.token && l.session == sent.session && l.since == lastDirect[machine] }
                if (outcome != DirectOutcome.DONE) {
                    m.directRetry = now + 500.milliseconds
                    for (c in sent.commands) if (c is StartTask) m.placements[c.key]?.let { if (it.attempt == c.attempt && it.step == Step.ORDERED) it.startSent = null }
                }
            }
            DirectOutcome.UNKNOWN -> m.directRetry = now + 1.seconds
        }
        if (report != null) observe(report)
    }

    private val lastDirect = HashMap<String, Duration>()

    fun probed(machine: String, report: Report?) {
        if (report == null || report.machine != machine) return
        val m = observe(report) ?: return
        // A worker that reports to another node learns of this leader's token here.
        if (m.token < token && !m.directBusy && !m.deleting) {
            send(m, emptyList())
        }
    }

    /** The process stood still or could not lead for a while: what was not heard meanwhile proves nothing. */
    private fun forgiveGap(gap: Duration) {
        for (m in machines.values) m.heard = m.heard?.plus(gap)
    }

    /** The whole list as the cloud gave it; it lags. */
    fun listed(list: List<ListedMachine>) {
        val seen = HashSet<String>()
        for (l in list) {
            seen.add(l.id)
            if (l.id in deleted) continue
            val m = machines.getOrPut(l.id) { Machine(l.id, l.type, l.zone, l.spot, now) }
            if (m.type.isEmpty()) {
                m.type = l.type
                m.zone = l.zone
                m.spot = l.spot
            }
            if (m.addr.isEmpty()) m.addr = l.addr
            m.listed = true
            m.missingSince = null
            m.age = l.age
            if (!m.everHeard) m.booting = l.stage == MachineStage.BOOTING
            if (l.stage == MachineStage.FAILED && !m.failed) {
                m.failed = true
                delete(m, "failed")
            }
        }
        for (m in machines.values) {
            if (m.id !in seen && m.missingSince == null) m.missingSince = now
        }
        recomputeCommonType()
        dirtyRound = true
    }

    fun rented(request: Rent, names: List<String>) {
        for (id in names) {
            if (id in deleted) continue
            machines.getOrPut(id) { Machine(id, request.type, request.zone, request.spot, now) }
        }
        capacity.answered(request, names.size, now)
    }

    fun rentRefused(request: Rent) = capacity.answered(request, 0, now)

    /** No answer: the same name is asked again, which rents nothing twice. */
    fun rentUnknown(request: Rent) = capacity.unanswered(request, now)

    fun deletionEnded(ids: List<String>, ok: Boolean) {
        for (id in ids) {
            val m = machines[id] ?: continue
            if (!ok) {
                m.deleteSent = null
                m.directRetry = now + 1.seconds
                continue
            }
            // The cloud's 200 is proof: the machine and all that was on it are gone.
            deleted.add(id)
            machines.remove(id)
            for (p in m.placements.values.toList()) gone(p, m, null)
            for ((k, a) in m.strays) dropStray(m, k, a)
        }
        dirtyRound = true
    }

    fun tokenRaised(to: Long?) {
        raising = false
        if (to != null && to > token) {
            token = to
            raisedAt = now
        }
    }

    fun stored(outcome: StoreOutcome) {
        storeBusy = false
        val writes = storing
        storing = emptyList()
        for (w in writes) {
            val job = jobs[w.id] ?: continue
            job.writing = false
            if (outcome is StoreOutcome.Stored) confirm(job, w, outcome.revision)
        }
        if (outcome !is StoreOutcome.Stored) storePause = now + 150.milliseconds
    }

    private fun confirm(job: Job, w: JobWrite, revision: Long) {
        if (revision > job.version) job.version = revision
        when (w) {
            is FinishJob -> jobGone(job.spec.id)
            is SaveJob -> {
                job.saved = w.change
                job.storedDone.or(w.record.done)
                for (p in job.placements.values.toList()) {
                    if (p.step != Step.INTENDED || p.storedAt > job.saved) continue
                    if (job.cancelled) {
                        drop(p)
                        continue
                    }
                    p.step = Step.ORDERED
                    if (!p.deferred) machines[p.machine]?.orders?.add(StartTask(p.key, p.attempt))
                }
            }
        }
    }

    fun tick() {
        for (m in machines.values.toList()) watch(m)
        for (j in jobs.values.toList()) tend(j)
        if (machines.values.any { m -> m.loose.any { now - it.since > LOOSE_PATIENCE } }) raiseToken()
        capacity.tick(now)
        saveImages()
        if (deaf() && !resigned) {
            resigned = true
            actions.add(Resign("no worker is heard"))
        }
    }

    private var resigned = false

    /**
     * A leader that no worker reaches keeps them all from one that could answer, until their leases end. So it
     * gives way well before that; where nobody else hears them either, nothing is lost.
     */
    private fun deaf(): Boolean {
        val up = machines.values.filter { !it.deleting && !it.booting }
        if (up.size < DEAF_MACHINES) return false
        val last = up.mapNotNull { it.heard }.maxOrNull()
        return if (last == null) now - startedAt > config.lease * 0.6 else now - last > maxOf(config.report * 2.5, 3.seconds)
    }

    // ---- evidence ----

    /** Takes a report in if it is newer than what is known. Null: it is old. */
    private fun observe(r: Report): Machine? {
        if (r.machine in deleted) return null
        val m = machines.getOrPut(r.machine) { Machine(r.machine, r.type, r.zone, r.spot, now) }
        if (!m.newer(r)) return null
        m.type = r.type
        m.zone = r.zone
        m.spot = r.spot
        m.addr = r.addr
        m.booting = false
        if (!m.everHeard) remembered[m.id]?.forEach { (image, gb) -> m.sawImage(image, gb, types[m.type]?.cacheGb ?: 0.0) }
        if (r.session > m.session) {
            if (m.session > 0) note("lease-ended machine=${m.id} session=${r.session} tasks=${m.placements.size}", important = true)
            m.loose.removeIf { it.session < r.session }
        }
        m.loose.removeIf { it.token < r.token }
        m.session = r.session
        m.seq = r.seq
        m.token = maxOf(m.token, r.token)
        m.heard = now
        m.notice = r.notice
        m.reported = r.tasks
        // Until the worker has seen this leader's token, commands of an earlier leader may still be carried out:
        // such a report shows what is there, but not what will not be.
        val wasTrusted = m.trusted
        if (r.token >= startToken) m.trusted = true
        if (!wasTrusted && m.trusted) dirtyRound = true
        digest(m, r)
        return m
    }

    private val startToken = token

    private fun digest(m: Machine, r: Report) {
        val present = HashSet<TaskKey>()
        val strayNow = HashMap<TaskKey, Amount>()
        for (t in r.tasks) {
            val job = jobs[t.key.job]
            val p = m.placements[t.key]?.takeIf { it.attempt == t.attempt }
            if (t.state == TaskState.EXITED) {
                exited(m, job, p, t)
                continue
            }
            if (p != null) {
                present.add(t.key)
                progress(m, p, t)
            } else {
                strayNow[t.key] = job?.need ?: Amount.ZERO
            }
        }
        if (m.trusted) {
            for (p in m.placements.values.toList()) {
                if (p.key in present || p.step == Step.INTENDED || p.startSent == null) continue
                if (m.mayStillStart(p.key, p.attempt)) continue
                gone(p, m, null)
            }
        }
        for ((k, a) in m.strays.entries.toList()) if (k !in strayNow) dropStray(m, k, a)
        for ((k, a) in strayNow) {
            if (m.strays.put(k, a) == null) {
                jobs[k.job]?.let {
                    it.strays.getOrPut(k) { HashSet() }.add(m.id)
                    usage.merge(it.spec.team, it.need) { x, y -> x + y }
                }
            }
        }
    }

    private fun dropStray(m: Machine, k: TaskKey, a: Amount) {
        m.strays.remove(k)
        val job = jobs[k.job] ?: return
        val set = job.strays[k] ?: return
        if (set.remove(m.id)) usage.merge(job.spec.team, Amount.ZERO - a) { x, y -> x + y }
        if (set.isEmpty()) job.strays.remove(k)
        dirtyRound = true
    }

    private fun progress(m: Machine, p: Placement, t: ReportedTask) {
        if (p.step != Step.SEEN) p.step = Step.SEEN
        if (p.startSent == null) p.startSent = now
        if (t.state != TaskState.FETCHING && p.state.let { it == null || it == TaskState.FETCHING }) {
            val gb = p.job.spec.imageGb
            m.sawImage(p.job.spec.image, gb, types[m.type]?.cacheGb ?: 0.0)
        }
        if (t.state == TaskState.RUNNING && p.runningSince == null) {
            p.runningSince = now
            if (p.job.spec.kind == JobKind.GANG && p.job.placements.size == p.job.spec.tasks && p.job.placements.values.all { it.state == TaskState.RUNNING || it === p }) {
                p.job.gangStarted = true
            }
        }
        p.state = t.state
    }

    private fun exited(m: Machine, job: Job?, p: Placement?, t: ReportedTask) {
        if (t.exit == Exit.DONE && job != null && job.spec.kind != JobKind.SERVICE && t.key.task < job.spec.tasks) {
            if (job.spec.kind == JobKind.GANG) {
                // They complete together: if one task is done, all of them are.
                if (!job.complete) {
                    job.done.set(0, job.spec.tasks)
                    job.changed()
                }
            } else if (!job.done[t.key.task]) {
                job.done.set(t.key.task)
                job.changed()
                learn(m, p)
            }
        }
        if (p == null) return
        gone(p, m, t.exit)
    }

    /** Keeps the table of the fastest machine type per class, from how long tasks ran. */
    private fun learn(m: Machine, p: Placement?) {
        val started = p?.runningSince ?: return
        val est = p.job.spec.estimate
        if (est <= Duration.ZERO || p.job.spec.kind == JobKind.GANG) return
        val ratio = (now - started) / est
        val table = typeRuns.getOrPut(p.job.spec.jobClass) { HashMap() }
        val usual = table[m.type] ?: ratio
        // Before the sample itself counts: a machine is slow against the others of its type.
        m.slowness = m.slowness * 0.6 + (ratio / usual.coerceAtLeast(1e-6)).coerceAtMost(MAX_SLOWNESS) * 0.4
        table[m.type] = usual * 0.9 + ratio * 0.1
        m.errors = 0
    }

    /** The attempt is proved to be off its machine. */
    private fun gone(p: Placement, m: Machine, exit: Exit?) {
        val job = p.job
        drop(p)
        job.soft(now)
        dirtyRound = true
        when (exit) {
            Exit.ERROR, Exit.UNKNOWN -> {
                job.failedOn.add(m.id)
                m.errors++
                if (job.failedOn.size >= 2) {
                    // On several machines the job is at fault: it must not consume the fleet.
                    job.notBefore = now + minOf(60.seconds, 2.seconds * (1 shl minOf(job.failedOn.size, 5)))
                } else {
                    job.notBefore = now + 1.seconds
                }
                if (m.errors >= 3) m.badUntil = now + 60.seconds
            }
            Exit.NO_ROOM, Exit.BUSY -> job.notBefore = now + 1.seconds
            else -> Unit
        }
    }

    private fun drop(p: Placement) {
        val job = p.job
        if (job.placements[p.task] !== p) return
        job.placements.remove(p.task)
        machines[p.machine]?.let { m ->
            if (m.placements[p.key] === p) m.placements.remove(p.key)
            m.orders.removeIf { it.key == p.key && it.attempt == p.attempt && it is StartTask }
        }
        charge(job, -1)
        note("off task=${p.key.job}/${p.task} attempt=${p.attempt} machine=${p.machine} was=${p.state}")
        if (p.step == Step.INTENDED) job.changed()
        if (job.placements.isEmpty()) job.gangAttempt = null
    }

    private fun charge(job: Job, sign: Int) {
        usage.merge(job.spec.team, job.need * sign) { x, y -> x + y }
    }

    // ---- duties ----

    /** What a worker is told besides the orders sent directly: repeated stops, and what it may forget. */
    private fun routine(m: Machine): List<Command> {
        val result = ArrayList<Command>()
        for (t in m.reported) {
            val job = jobs[t.key.job]
            val p = m.placements[t.key]?.takeIf { it.attempt == t.attempt }
            if (t.state == TaskState.EXITED) {
                // A start still on its way would start the task again after this.
                if (m.mayStillStart(t.key, t.attempt)) continue
                if (t.exit == Exit.DONE && job != null && !job.finished && job.spec.kind != JobKind.SERVICE && !job.storedDone[t.key.task]) continue
                result.add(ForgetTask(t.key, t.attempt))
            } else if (p == null) {
                result.add(StopTask(t.key, t.attempt, Duration.ZERO))
            } else if (p.stop != null && p.stopSent.let { it != null && now - it > config.report * 0.7 } && t.state != TaskState.SAVING) {
                result.add(StopTask(t.key, t.attempt, p.stopGrace))
            }
        }
        return result
    }

    private fun watch(m: Machine) {
        if (m.deleting) {
            if (m.deleteSent == null && now >= m.directRetry) sendDelete(m)
            return
        }
        val quiet = now - (m.heard ?: maxOf(m.firstSeen, startedAt))
        if (m.booting && !m.everHeard) {
            val boot = types[m.type]?.boot ?: 60.seconds
            val age = maxOf(m.age, now - m.firstSeen)
            if (age > boot * config.tuning.bootPatience + config.listLag * 2) {
                delete(m, "never-came-up")
            }
            return
        }
        if (m.notice != null) {
            if (m.busyTasks() == 0 && m.trusted) {
                delete(m, "notice")
                return
            }
            drainForNotice(m)
        }
        if (quiet > config.report * 1.6 + 500.milliseconds && m.addr.isNotEmpty() && now >= m.probeAt) {
            m.probeAt = now + maxOf(2.seconds, config.report)
            actions.add(Probe(m.id, m.addr))
        }
        val cancelDue = m.placements.values.mapNotNull { it.job.cancelledAt }.minOrNull()
        if (cancelDue != null && quiet > config.report * 2 && now - cancelDue > config.cancel * 0.6) {
            // Cancelled work may be on a machine nobody reaches: it must be gone in time, whatever else it costs.
            delete(m, "cancelled-work")
            return
        }
        val limit = if (m.missingSince.let { it != null && now - it > config.listLag * 2 + 2.seconds } && m.listed) config.report * 2.5 else silence
        // Silence for two leases is given up in any case: if most machines are really lost, waiting would never end.
        if (quiet > limit && (mostAreHeard(m) || quiet > config.lease * 2)) {
            if (!m.everHeard && m.addr.isEmpty() && now - startedAt < config.listLag * 2 + 2.seconds) return
            delete(m, "silent")
        }
    }

    /** A cut or a stall on our own side makes every machine look silent: then none is given up. */
    private fun mostAreHeard(but: Machine): Boolean {
        val others = machines.values.filter { it !== but && !it.deleting && it.everHeard }
        if (others.isEmpty()) return now - startedAt > config.lease * 2
        // Clearly shorter than the silence bound: machines that all fell silent together must not vouch for each other.
        val recent = maxOf(silence * 0.6, config.report * 1.4)
        val fresh = others.count { o -> o.heard.let { it != null && now - it <= recent } }
        return fresh * 2 > others.size
    }

    private fun drainForNotice(m: Machine) {
        for (p in m.placements.values) {
            if (p.stop != null || p.step != Step.SEEN) continue
            val s = p.job.spec
            if (s.checkpoint > Duration.ZERO || p.state == TaskState.FETCHING) stop(p, StopReason.NOTICE, s.save + GRACE_SLACK)
        }
    }

    fun note(text: String, important: Boolean = false) {
        actions.add(Note(text, important))
    }

    private fun delete(m: Machine, why: String) {
        if (m.deleting) return
        note("give-up machine=${m.id} reason=$why tasks=${m.placements.size} heard=${m.heard} now=$now", important = true)
        m.deleting = true
        m.orders.clear()
        sendDelete(m)
    }

    fun returnMachine(m: Machine) = delete(m, "not-needed")

    private fun sendDelete(m: Machine) {
        m.deleteSent = now
        val last = actions.lastOrNull()
        if (last is Delete && last.machines.size < MAX_DELETE) {
            actions[actions.size - 1] = Delete(last.machines + m.id)
        } else {
            actions.add(Delete(listOf(m.id)))
        }
    }

    fun rent(r: Rent) {
        actions.add(r)
    }

    private fun raiseToken() {
        if (raising || now - raisedAt < config.lease / 2) return
        raising = true
        actions.add(RaiseToken)
    }

    private fun tend(job: Job) {
        if (job.cancelled && !job.writing) job.placements.values.filter { it.step == Step.INTENDED }.forEach(::drop)
        if (job.spec.kind == JobKind.GANG && !job.cancelled && job.placements.isNotEmpty()) tendGang(job)
        for (p in job.placements.values.toList()) {
            val m = machines[p.machine] ?: continue
            if (p.stop != null && p.step == Step.ORDERED && p.startSent == null && !m.mayStillStart(p.key, p.attempt)) {
                // Its start was never sent, or surely not carried out: no report would ever show it ended.
                drop(p)
                job.soft(now)
                continue
            }
            if (p.step == Step.ORDERED && p.startSent == null && !p.deferred && now >= m.directRetry && m.orders.none { it.key == p.key && it.attempt == p.attempt }) {
                m.orders.add(StartTask(p.key, p.attempt))
            }
            if (p.step == Step.ORDERED && m.loose.any { it.key == p.key } && p.startSent.let { it != null && now - it > 2.seconds }) {
                m.orders.add(StartTask(p.key, p.attempt))
                p.startSent = now
            }
            val sent = p.stopSent
            if (p.stop != null && p.step != Step.INTENDED && (sent == null || now - sent > maxOf(2.seconds, config.report))) {
                if (p.state != TaskState.SAVING || p.stop == StopReason.CANCELLED) m.orders.add(StopTask(p.key, p.attempt, p.stopGrace))
                p.stopSent = now
            }
        }
    }

    /**
     * A gang whose tasks are on machines with and without the image: those without start first, since a task
     * that has its image gives up when the others take longer than the gang's waiting time.
     */
    private fun deferCached(job: Job) {
        val (cached, fetching) = job.placements.values.partition { machines[it.machine]?.hasImage(job.spec.image) == true }
        if (fetching.isEmpty()) return
        cached.forEach { it.deferred = true }
    }

    private fun tendGang(job: Job) {
        val all = job.placements.values.toList()
        val missing = all.size < job.spec.tasks - job.done.cardinality()
        val stopping = all.any { it.stop != null }
        if (!missing && !stopping) {
            if (all.any { it.deferred } && all.all { it.deferred || (it.state != null && it.state != TaskState.FETCHING) }) all.forEach { it.deferred = false }
            return
        }
        // Places that were only reserved are given up at once: no start was ever sent.
        all.filter { it.deferred && it.startSent == null }.forEach(::drop)
        val started = job.gangStarted || all.any { it.state == TaskState.RUNNING || it.state == TaskState.SAVING }
        // Before the start, fetches under way are let through: stopping them would throw the image away, and the
        // next attempt would run into the same waiting time for ever.
        if (!started && !stopping && job.placements.values.any { it.state == null || it.state == TaskState.FETCHING }) return
        val grace = if (!missing) job.spec.save + GRACE_SLACK else Duration.ZERO
        for (p in job.placements.values) {
            if (p.stop == null && p.step != Step.INTENDED) stop(p, StopReason.GANG_BROKEN, grace)
        }
    }

    fun stop(p: Placement, reason: StopReason, grace: Duration) {
        if (p.stop != null && !(reason == StopReason.CANCELLED && p.stop != StopReason.CANCELLED)) return
        p.stop = reason
        note("stop task=${p.key.job}/${p.task} attempt=${p.attempt} machine=${p.machine} reason=$reason grace=$grace")
        p.stopGrace = grace
        p.stopSent = null
        val m = machines[p.machine] ?: return
        if (p.step == Step.INTENDED) return
        m.orders.add(StopTask(p.key, p.attempt, grace))
        p.stopSent = now
    }

    // ---- output ----

    private fun flushOrders() {
        for (m in machines.values) {
            if (m.orders.isEmpty() || m.directBusy || m.deleting || m.addr.isEmpty() || !m.trusted || now < m.directRetry) continue
            val commands = m.orders.filter { c ->
                val p = m.placements[c.key]
                c !is StartTask || (p != null && p.attempt == c.attempt && p.step != Step.INTENDED && p.stop == null)
            }.distinct()
            m.orders.clear()
            if (commands.isEmpty()) continue
            for (c in commands) {
                if (c is StartTask) {
                    m.loose.add(LooseStart(c.key, c.attempt, token, m.session, now))
                    m.placements[c.key]?.startSent = now
                }
            }
            send(m, commands)
        }
    }

    /** One request to a machine at a time; its time tells its starts from earlier ones. */
    private fun send(m: Machine, commands: List<Command>) {
        lastDirect[m.id] = now
        m.directBusy = true
        actions.add(Direct(m.id, m.addr, token, m.session, commands))
    }

    private fun flushStore() {
        if (storeBusy || now < storePause) return
        val writes = ArrayList<JobWrite>()
        var ops = 0
        val dirty = jobs.values.filter { !it.writing && (it.changes > it.saved || it.softSince.let { s -> s != null && now - s > SOFT_DELAY } || finishable(it)) }
            .sortedWith(compareByDescending<Job> { it.changes > it.saved }.thenByDescending { it.rank })
        for (job in dirty) {
            val w = writeFor(job)
            val cost = opsOf(w)
            if (ops + cost > config.txnOps) {
                if (writes.isEmpty()) error("txn_ops ${config.txnOps} is too small for one job's change")
                break
            }
            ops += cost
            writes.add(w)
            job.writing = true
            if (w is SaveJob) job.softSince = null
        }
        if (writes.isEmpty()) return
        storeBusy = true
        storing = writes
        actions.add(Store(writes))
    }

    private fun finishable(job: Job): Boolean = (job.cancelled && job.placements.isEmpty() && job.strays.isEmpty()) || job.complete

    private fun writeFor(job: Job): JobWrite {
        if (job.complete && !job.cancelled) return FinishJob(job.spec.id, job.version, null, job.spec.tasks)
        if (job.cancelled && finishable(job)) return FinishJob(job.spec.id, job.version, job.cancelVersion, job.spec.tasks)
        val chunks = job.dirtyChunks()
        return SaveJob(
            job.spec.id,
            job.version,
            job.record(),
            chunks,
            job.changes,
            job.placements.values.any { it.step == Step.INTENDED },
        )
    }

    private fun opsOf(w: JobWrite): Int = when (w) {
        is SaveJob -> 1 + w.chunks.size
        is FinishJob -> 2 + (if (w.cancelVersion != null) 1 else 0)
    }

    // ---- rounds ----

    private fun round() {
        lastRound = now
        dirtyRound = false
        if (types.isEmpty()) return
        val ready = machines.values.filter { it.ready(now, freshness) && it.type in types }
        val open = jobs.values.filter { !it.cancelled && !it.complete && it.notBefore.let { b -> b == null || now >= b } && it.waiting(1).isNotEmpty() }
        if (open.isNotEmpty() && ready.isNotEmpty()) {
            rooms.clearCached(open, ready)
            Round(this, ready, open.filterNot { rooms.waitsForRoom(it, ready) }).run { now - it.seenAt > config.tuning.gangWaitBound }
            rooms.makeRoom(ready)
        }
        capacity.plan(now)
    }

    /** How long a fetch of the job's image usually takes. */
    fun fetchTime(job: Job): Duration = (job.spec.imageGb / (commonType?.fetchGbPerS ?: 1.0).coerceAtLeast(0.01)).seconds

    /** Whether the aim for the job's class can be met only where its image is cached. */
    override fun needsCache(job: Job): Boolean {
        val within = waitBounds[job.spec.jobClass] ?: return false
        return fetchTime(job) > within
    }

    private val waitBounds: Map<String, Duration> = config.objectives.filter { it.kind == "wait" && it.jobClass != null }
        .associate { it.jobClass.orEmpty() to (it.within ?: Duration.INFINITE) }

    private fun recomputeCommonType() {
        val counts = machines.values.groupingBy { it.type }.eachCount()
        commonType = types.values.maxWithOrNull(compareBy<MachineType> { counts[it.name] ?: 0 }.thenBy { it.name })
    }

    override fun zoneOf(machine: String): String? = machines[machine]?.zone?.ifEmpty { null }

    override fun teamRoom(job: Job): Int {
        val team = teams[job.spec.team] ?: return 0
        val used = usage[team.name] ?: Amount.ZERO
        fun room(max: Double?, used: Double, need: Double): Int =
            if (max == null || need <= 0.0) Int.MAX_VALUE else ((max - used + Amount.EPS) / need).toInt().coerceAtLeast(0)
        return minOf(room(team.cpusMax, used.cpus, job.need.cpus), room(team.gpusMax, used.gpus, job.need.gpus))
    }

    override fun withinGuarantee(job: Job): Boolean {
        val team = teams[job.spec.team] ?: return false
        val used = (usage[team.name] ?: Amount.ZERO) + job.need
        if (team.cpus <= 0.0 && team.gpus <= 0.0) return false
        return (team.cpus <= 0.0 || used.cpus <= team.cpus + Amount.EPS) && (team.gpus <= 0.0 || used.gpus <= team.gpus + Amount.EPS)
    }

    override fun fastestType(jobClass: String): String? = typeRuns[jobClass]?.minByOrNull { it.value }?.key

    override fun place(job: Job, task: Int, machine: Machine, attempt: Long?) {
        val a = attempt ?: ++job.lastAttempt
        val p = Placement(job, task, a, machine.id, now)
        p.storedAt = job.changed()
        job.placements[task] = p
        machine.placements[p.key] = p
        charge(job, +1)
        note("place task=${job.spec.id}/$task attempt=$a class=${job.spec.jobClass} machine=${machine.id} cached=${machine.hasImage(job.spec.image)} waited=${now - job.seenAt}")
    }

    override fun gangPlaced(job: Job) = deferCached(job)

    override fun newGangAttempt(job: Job): Long {
        job.gangStarted = false
        return (++job.lastAttempt).also { job.gangAttempt = it }
    }

    /**
     * The latest time at which the job's next task should start to meet the first aim that it still can; jobs
     * that can meet none come last. Work that is late anyway must not make other work late.
     */
    override fun order(job: Job): Duration {
        val s = job.spec
        val run = s.estimate * ESTIMATE_MARGIN
        // A deadline follows from an estimate that is often wrong: such a job is never written off.
        if (s.deadline != null) return job.submitted + s.deadline - s.estimate * DEADLINE_MARGIN
        for (b in finishBounds[s.jobClass] ?: listOf(60.seconds + run)) {
            val latest = job.submitted + b - run
            if (latest >= wall) return latest
        }
        return job.submitted + HOPELESS
    }

    val finishBounds: Map<String, List<Duration>> = config.objectives
        .filter { it.kind == "finished" && it.jobClass != null && it.within != null }
        .groupBy({ it.jobClass.orEmpty() }, { it.within ?: Duration.ZERO })
        .mapValues { (_, l) -> l.sorted() }

    override fun recordRoom(job: Job): Int = (config.valueBytes - job.spec.recordBytes) / BYTES_PER_INTENT - job.placements.size

    /** Where a start of the job may still arrive late, another attempt of it would only meet that one. */
    override fun avoids(job: Job, machine: Machine): Boolean =
        machine.id in job.failedOn && job.failedOn.size < 4 || machine.loose.any { it.key.job == job.spec.id }

    override fun misfit(job: Job, machine: Machine): Int = if (job.spec.spot && !machine.spot) 1 else 0

    companion object {
        private val MIN_ROUND_GAP = 30.milliseconds
        private const val ESTIMATE_MARGIN = 1.15
        private const val DEADLINE_MARGIN = 1.3
        private val HOPELESS = 3600.seconds

        private val IMAGES_PERIOD = 4.seconds
        private const val BYTES_PER_ENTRY = 12
        private const val MAX_SLOWNESS = 5.0
        private const val DEAF_MACHINES = 3
        private val STALL = 3.seconds
        private val SOFT_DELAY = 1500.milliseconds
        private val LOOSE_PATIENCE = 1.seconds
        val GRACE_SLACK = 2.seconds
        private const val MAX_DELETE = 100

        /** What a task's place takes at most in a stored record. */
        private const val BYTES_PER_INTENT = 28
    }
}

private fun Job.dirtyChunks(): List<Int> {
    if (spec.tasks <= CHUNKED_ABOVE) return emptyList()
    val chunks = LinkedHashSet<Int>()
    var t = done.nextSetBit(0)
    while (t >= 0) {
        if (!storedDone[t]) chunks.add(t / CHUNK)
        t = done.nextSetBit(t + 1)
    }
    return chunks.take(2)
}

/** Must agree with the stored form of job records. */
const val CHUNKED_ABOVE = 2048
const val CHUNK = 8192
