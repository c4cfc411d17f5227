package glenspool.api

import glenspool.core.cluster.Cancellations
import kotlin.time.Duration

/** What the answer to a heartbeat depends on at a node that does not lead. */
interface NodeState {
    /** The cancellations that the node knows. */
    val cancellations: Cancellations

    /** Since the start of the process, by the steady clock. */
    fun uptime(): Duration

    /** Whether this build can't read the active level: the process must neither lead, accept nor confirm anything. */
    fun fenced(): Boolean

    /** Whether the node has lost the key-value store and every other node. */
    fun isolated(): Boolean

    /** The node that workers should send their heartbeats to; null if no other one is known to lead. */
    fun otherLeader(): String?
}
