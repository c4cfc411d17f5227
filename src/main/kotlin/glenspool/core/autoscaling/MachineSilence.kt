package glenspool.core.autoscaling

import glenspool.core.SchedulingContext
import glenspool.core.cluster.Machine

/** Whether there was contact with it, and none of late. */
internal fun Machine.isSilent(context: SchedulingContext): Boolean =
    reachability.hadContact &&
        !reachability.hadContactWithin(context.config.heartbeatFreshness, context.now)
