package glenspool.simulation

import glenspool.api.NodeState
import glenspool.core.cluster.Cancellations
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A node among the controllers b and c, whose state a test sets. [now] returns the simulated time since its start. */
class FakeNodeState(private val now: () -> Duration) : NodeState {
    override val cancellations = Cancellations("boot", listOf("b", "c"), 200.seconds, now)
    var leader: String? = null
    var isIsolated = false
    var isFenced = false

    /** Lets the node know all cancellations up to the present time. */
    fun readStore() = cancellations.recordStoreRead(now())

    override fun uptime() = now()

    override fun fenced() = isFenced

    override fun isolated() = isIsolated

    override fun otherLeader() = leader
}
