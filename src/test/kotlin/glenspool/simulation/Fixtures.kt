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

val bigType = MachineType("big", Resources(16.0, 4.0, 64.0), 100.0, 1.0, 8.0, 2.0, 20.seconds, listOf("a", "b"))
val leanType = MachineType("lean", Resources(8.0, 0.0, 64.0), 50.0, 1.0, 2.0, 0.5, 10.seconds, listOf("a", "b"))

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
    id, "class-$kind", team, kind, priority, tasks, resourceRequest, image, imageGb, types, zone, sameZone, spread, spot,
    if (kind ==
        JobKind.SERVICE
    ) {
        Duration.ZERO
    } else {
        estimatedDuration
    },
    checkpointInterval,
    if (checkpointInterval >
        Duration.ZERO
    ) {
        1.seconds
    } else {
        Duration.ZERO
    },
    deadline,
)

fun config(
    teams: List<Team> = listOf(Team("t0", 0.0, 0.0, null, null)),
    tuning: Tuning = Tuning(),
    txnOps: Int = 8,
    objectives: List<Objective> = emptyList(),
    peerZones: Set<String> = emptySet(),
) = SchedulerConfig(
    teams, objectives, listOf("a", "b"), 2.seconds, 16.seconds, 15.seconds, 5.seconds, 40.seconds,
    3
        .seconds,
    txnOps, 80.0, 4096, tuning, peerZones,
)
