package glenspool.api

import glenspool.core.cluster.Cancellations
import kotlin.time.Duration

/** The state on which a node's answer to a heartbeat depends while it does not lead. */
interface NodeState {
    /** The cancellations that the node has received. */
    val cancellations: Cancellations

    /** Returns the time since the start of the process by the monotonic clock. */
    fun uptime(): Duration

    /**
     * Returns whether this build can't read the active level, in which case the process must neither lead nor accept or
     * confirm anything.
     */
    fun fenced(): Boolean

    /** Returns whether the node has lost the key-value store and every other node. */
    fun isolated(): Boolean

    /** Returns the node that workers should send their heartbeats to, or null if no other node is known to lead. */
    fun otherLeader(): String?
}
