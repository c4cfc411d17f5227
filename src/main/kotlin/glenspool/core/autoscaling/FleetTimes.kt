package glenspool.core.autoscaling

import glenspool.core.SchedulingContext
import glenspool.core.cluster.Machine
import glenspool.core.model.JobSpec
import glenspool.core.model.MachineType
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Keeps times finite for types that tell no speed. */
private const val MIN_FETCH_GB_PER_S = 0.01

/** How long a machine of the type takes to fetch an image of [gb] gigabytes. */
internal fun fetchTime(gb: Double, type: MachineType): Duration =
    (
        gb /
            type.fetchGbPerS.coerceAtLeast(MIN_FETCH_GB_PER_S)
    ).seconds

/** How long a machine of the type takes to fetch the job's image. */
internal fun fetchTime(spec: JobSpec, type: MachineType): Duration = fetchTime(spec.imageGb, type)

/** Whether it was heard once and has been silent since. */
internal fun Machine.isSilent(context: SchedulingContext): Boolean =
    reachability.hadContact &&
        !reachability.hadContactWithin(context.config.heartbeatFreshness, context.now)
