package glenspool.simulation

import glenspool.core.SchedulerConfig
import glenspool.core.Tuning
import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.MachineType
import glenspool.core.model.Objective
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.Team
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A machine type with GPUs. */
val bigType = MachineType("big", Resources(16.0, 4.0, 64.0), 100.0, 1.0, 8.0, 2.0, 20.seconds, listOf("a", "b"))

/** A machine type without GPUs. */
val leanType = MachineType("lean", Resources(8.0, 0.0, 64.0), 50.0, 1.0, 2.0, 0.5, 10.seconds, listOf("a", "b"))

/** Creates a job. By default it has one short task that fits on any machine with a GPU. */
fun job(
    id: String,
    kind: JobKind = JobKind.ARRAY,
    tasks: Int = 1,
    resourceRequest: Resources = Resources(2.0, 1.0, 8.0),
    team: String = "t0",
    priority: Priority = Priority.STANDARD,
    types: List<String>? = null,
    zone: String? = null,
    sameZone: Boolean = false,
    spread: Boolean = false,
    spot: Boolean = false,
    image: String = "img",
    imageGb: Double = 2.0,
    estimatedDuration: Duration = 10.seconds,
    checkpointInterval: Duration = Duration.ZERO,
    deadline: Duration? = null,
) = JobSpec(
    id = id,
    jobClass = "class-$kind",
    team = team,
    kind = kind,
    priority = priority,
    tasks = tasks,
    resourceRequest = resourceRequest,
    image = image,
    imageGb = imageGb,
    types = types,
    zone = zone,
    sameZone = sameZone,
    spread = spread,
    spot = spot,
    estimatedDuration = if (kind == JobKind.SERVICE) Duration.ZERO else estimatedDuration,
    checkpointInterval = checkpointInterval,
    checkpointDuration = if (checkpointInterval > Duration.ZERO) 1.seconds else Duration.ZERO,
    deadline = deadline,
)

/** Creates the settings of a small deployment in zones a and b. */
fun config(
    teams: List<Team> = listOf(Team("t0", 0.0, 0.0, null, null)),
    tuning: Tuning = Tuning(),
    txnOps: Int = 8,
    objectives: List<Objective> = emptyList(),
    peerZones: Set<String> = emptySet(),
) = SchedulerConfig(
    teams = teams,
    objectives = objectives,
    zones = listOf("a", "b"),
    heartbeatInterval = 2.seconds,
    lease = 16.seconds,
    gangWait = 15.seconds,
    gangPeer = 5.seconds,
    cancellationDeadline = 40.seconds,
    listLag = 3.seconds,
    txnOps = txnOps,
    writeRps = 80.0,
    valueBytes = 4096,
    tuning = tuning,
    peerZones = peerZones,
)
