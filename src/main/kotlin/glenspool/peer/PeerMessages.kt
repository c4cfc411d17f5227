package glenspool.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A controller's status as it reports it to another controller. */
@Serializable
data class PeerStatus(
    @SerialName("node") val node: String,
    @SerialName("leading") val leading: Boolean,
    @SerialName("leader") val leader: String?,
    @SerialName("fresh") val isCacheFresh: Boolean,
    /**
     * The highest level of stored forms that the node reads, see [SEALED_RECORDS]; versions without job dependencies
     * don't send it.
     */
    @SerialName("reads") val readableLevel: Int = 0,
    /** The node's build and the levels that the build supports; null where levels are not managed. */
    @SerialName("levels") val levels: PeerLevels? = null,
    /** Continuity evidence: which leaders' terms the node's process observed; null where recovery is not managed. */
    @SerialName("witness") val continuityEvidence: PeerContinuityEvidence? = null,
) {
    companion object {
        /** The level of records whose description or placements are stored under separate keys. */
        const val SEALED_RECORDS = 1
    }
}

/**
 * Evidence of the leaders' terms that a controller's process has observed.
 *
 * @property firstToken the fencing token of the first observed term; null if there is none
 */
@Serializable
data class PeerContinuityEvidence(
    @SerialName("firstToken") val firstToken: Long? = null,
)

/**
 * What a controller reports about its build and its health as evidence for a rollout. Counts are since the process's
 * start; [boot] differs between any two processes.
 */
@Serializable
data class PeerLevels(
    @SerialName("boot") val boot: String,
    @SerialName("build") val build: String,
    @SerialName("lowest") val lowest: Int,
    @SerialName("highest") val highest: Int,
    @SerialName("ready") val ready: Boolean,
    @SerialName("takeOvers") val failovers: Long,
    @SerialName("leasesExpired") val expiredLeases: Long,
    @SerialName("refusals") val refusals: Long,
    @SerialName("rejectedWrites") val rejectedWrites: Long,
)

/** A user's request, relayed by a node that has lost the key-value store but not its peers. */
@Serializable
data class RelayRequest(
    @SerialName("method") val method: String,
    @SerialName("path") val path: String,
    @SerialName("body") val body: ByteArray,
)

/**
 * The response to a relayed request.
 *
 * @property retryAfter the value of the response's `Retry-After` header; null if there is none
 */
@Serializable
data class RelayAnswer(
    @SerialName("status") val status: Int,
    @SerialName("body") val body: ByteArray,
    @SerialName("retryAfter") val retryAfter: String?,
)

/**
 * The serialized form of `glenspool.core.cluster.CancellationUpdate`. Durations and times since the epoch are in
 * milliseconds.
 */
@Serializable
data class CancellationMessage(
    @SerialName("node") val node: String,
    @SerialName("boot") val boot: String,
    @SerialName("uptime") val uptime: Long,
    @SerialName("entries") val entries: List<Entry>,
    @SerialName("base") val base: Long,
    @SerialName("upTo") val upTo: Long,
    @SerialName("whole") val isComplete: Boolean,
    @SerialName("completeAge") val completeAge: Long?,
    @SerialName("contactAge") val contactAge: Long,
    @SerialName("heardBoot") val acknowledgedBoot: String?,
    @SerialName("heardUpTo") val acknowledgedUpTo: Long,
) {
    /**
     * A stored cancellation.
     *
     * @property at when the cancellation was stored, by the wall clock
     */
    @Serializable
    data class Entry(
        @SerialName("job") val job: String,
        @SerialName("at") val at: Long,
        @SerialName("version") val version: Long,
    )
}
