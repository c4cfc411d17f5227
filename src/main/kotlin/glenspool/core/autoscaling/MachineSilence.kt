package glenspool.core.autoscaling

import glenspool.core.SchedulingContext
import glenspool.core.cluster.Machine

/** Whether the machine has been in contact, but not within the time for which heartbeats count as fresh. */
internal fun Machine.isSilent(context: SchedulingContext): Boolean =
    reachability.hadContact &&
        !reachability.hadContactWithin(context.config.heartbeatFreshness, context.now)
