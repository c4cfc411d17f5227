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
            isCacheFresh = freshness.isFresh(),
            readableLevel = PeerStatus.SEALED_RECORDS,
            levels = rollout?.ownLevels(),
            continuityEvidence = recovery?.ownContinuityEvidence(),
        )
}
