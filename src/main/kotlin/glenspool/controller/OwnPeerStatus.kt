package glenspool.controller

import glenspool.peer.PeerStatus

/** Builds the status with which this node answers the other controllers. */
internal class OwnPeerStatus(
    private val node: String,
    private val leadership: Leadership,
    private val freshness: CacheFreshness,
    /** Null if levels are not managed. */
    private val rollout: RolloutManager?,
    /** Null if recovery is not managed. */
    private val recovery: RecoveryManager?,
) {
    fun read() =
        PeerStatus(
            node,
            leading = leadership.current() != null,
            leader = leadership.recordedLeader(),
            fresh = freshness.isFresh(),
            reads = PeerStatus.SEALED,
            levels = rollout?.ownLevels(),
            witness = recovery?.ownContinuityEvidence(),
        )
}
