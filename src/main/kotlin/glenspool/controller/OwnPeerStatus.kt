package glenspool.controller

import glenspool.peer.PeerStatus

/** What this node answers the other controllers that ask for its status. */
internal class OwnPeerStatus(
    private val node: String,
    private val leadership: Leadership,
    private val freshness: CacheFreshness,
    /** Null: levels are not managed. */
    private val rollout: RolloutManager?,
    /** Null: recovery is not managed. */
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
