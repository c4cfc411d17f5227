package glenspool.peer

import glenspool.config.Member
import glenspool.http.HttpCaller
import glenspool.http.RawResult
import glenspool.http.hostPort
import glenspool.logging.loggerOf
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a controller tells another of itself. */
@Serializable
data class PeerStatus(
    @SerialName("node") val node: String,
    @SerialName("leading") val leading: Boolean,
    @SerialName("leader") val leader: String?,
    @SerialName("fresh") val fresh: Boolean,
    /** Which stored forms it reads; versions before pipelines say nothing. */
    @SerialName("reads") val reads: Int = 0,
    /** Which levels its build knows, and who it is; only where levels are managed. */
    @SerialName("levels") val levels: PeerLevels? = null,
    /** What its process has lived through; only where recovery is managed. */
    @SerialName("witness") val witness: PeerWitness? = null,
) {
    companion object {
        /** Records whose description or places are stored apart. */
        const val SEALED = 1
    }
}

/**
 * The token of the first leader's term that a controller's process has lived through; null if it has lived through
 * none.
 */
@Serializable
data class PeerWitness(
    @SerialName("firstToken") val firstToken: Long? = null,
)

/** What a controller shows of its build as evidence for a rollout. [boot] differs between any two processes. */
@Serializable
data class PeerLevels(
    @SerialName("boot") val boot: String,
    @SerialName("build") val build: String,
    @SerialName("lowest") val lowest: Int,
    @SerialName("highest") val highest: Int,
    @SerialName("ready") val ready: Boolean,
    @SerialName("takeOvers") val takeOvers: Long,
    @SerialName("leasesExpired") val leasesExpired: Long,
    @SerialName("refusals") val refusals: Long,
    @SerialName("rejectedWrites") val rejectedWrites: Long,
)

/** A user's request, passed on by a node that has lost the state service alone. */
@Serializable
data class RelayRequest(
    @SerialName("method") val method: String,
    @SerialName("path") val path: String,
    @SerialName("body") val body: ByteArray,
)

/** What the user is to be answered. */
@Serializable
data class RelayAnswer(
    @SerialName("status") val status: Int,
    @SerialName("body") val body: ByteArray,
    @SerialName("retryAfter") val retryAfter: String?,
)

/** See `glenspool.core.cluster.CancellationUpdate`; spans and times of day are in milliseconds. */
@Serializable
data class CancellationMessage(
    @SerialName("node") val node: String,
    @SerialName("boot") val boot: String,
    @SerialName("uptime") val uptime: Long,
    @SerialName("entries") val entries: List<Entry>,
    @SerialName("base") val base: Long,
    @SerialName("upTo") val upTo: Long,
    @SerialName("whole") val whole: Boolean,
    @SerialName("completeAge") val completeAge: Long?,
    @SerialName("contactAge") val contactAge: Long,
    @SerialName("heardBoot") val heardBoot: String?,
    @SerialName("heardUpTo") val heardUpTo: Long,
) {
    @Serializable
    data class Entry(
        @SerialName("job") val job: String,
        @SerialName("at") val at: Long,
        @SerialName("version") val version: Long,
    )
}

/** Where controllers ask each other. A path that a version does not know gets 404, and the next one is asked. */
object PeerPaths {
    const val STATUS = "/peer/status"
    const val RELAY = "/peer/relay"

    /** Submissions that wait for others: a version that does not know them would start them at once. */
    const val RELAY_CHAINED = "/peer/relay-chained"

    /** What each knows of cancellations. A version that does not know it neither hears nor tells. */
    const val CANCELLATIONS = "/peer/cancellations"

    /** Operators' questions and orders about the rollout; 404 where levels are not managed. */
    const val ROLLOUT = "/peer/rollout"

    /** Operators' questions and orders about a leader's orders and its recovery. */
    const val RECOVERY = "/peer/recovery"
}

@OptIn(ExperimentalSerializationApi::class)
object PeerWire {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(s: PeerStatus): ByteArray = cbor.encodeToByteArray(s)

    fun encode(r: RelayRequest): ByteArray = cbor.encodeToByteArray(r)

    fun encode(a: RelayAnswer): ByteArray = cbor.encodeToByteArray(a)

    fun encode(m: CancellationMessage): ByteArray = cbor.encodeToByteArray(m)

    fun cancellations(b: ByteArray): CancellationMessage = cbor.decodeFromByteArray(b)

    fun encode(r: RolloutRequest): ByteArray = cbor.encodeToByteArray(r)

    fun encode(r: RolloutReply): ByteArray = cbor.encodeToByteArray(r)

    fun encode(r: RecoveryRequest): ByteArray = cbor.encodeToByteArray(r)

    fun encode(r: RecoveryReply): ByteArray = cbor.encodeToByteArray(r)

    fun recoveryRequest(b: ByteArray): RecoveryRequest = cbor.decodeFromByteArray(b)

    fun recoveryReply(b: ByteArray): RecoveryReply = cbor.decodeFromByteArray(b)

    fun rolloutRequest(b: ByteArray): RolloutRequest = cbor.decodeFromByteArray(b)

    fun rolloutReply(b: ByteArray): RolloutReply = cbor.decodeFromByteArray(b)

    fun status(b: ByteArray): PeerStatus = cbor.decodeFromByteArray(b)

    fun relayRequest(b: ByteArray): RelayRequest = cbor.decodeFromByteArray(b)

    fun relayAnswer(b: ByteArray): RelayAnswer = cbor.decodeFromByteArray(b)
}

/** Requests to the other controllers. They are hints and relays only: no rule rests on a peer's silence. */
class PeerClient(private val members: List<Member>) {
    private val http = HttpCaller(CONNECT_TIMEOUT)

    fun statuses(): List<PeerStatus> =
        members.mapNotNull { m ->
            call(m, PeerPaths.STATUS, null, 700.milliseconds, PeerWire::status)
        }

    /** How an exchange of what is known of cancellations ended. */
    sealed interface Exchange {
        data class Answered(val message: CancellationMessage) : Exchange

        /** It is there, and of a version that does not know this. */
        data object Unsupported : Exchange

        data object None : Exchange
    }

    fun exchange(with: Member, message: CancellationMessage): Exchange {
        val (status, answer) =
            request(with, PeerPaths.CANCELLATIONS, PeerWire.encode(message), EXCHANGE_TIMEOUT, PeerWire::cancellations)
                ?: return Exchange.None
        return when {
            answer != null -> Exchange.Answered(answer)
            status == NOT_FOUND -> Exchange.Unsupported
            else -> Exchange.None
        }
    }

    /**
     * Asks the others in turn; the first that took the request answers for all. [path]: which versions take it, see
     * [PeerPaths].
     */
    fun relay(r: RelayRequest, timeout: Duration, path: String = PeerPaths.RELAY): RelayAnswer? {
        val bytes = PeerWire.encode(r)
        for (m in members) {
            val a = call(m, path, bytes, timeout, PeerWire::relayAnswer) ?: continue
            if (a.status < 500) return a
        }
        return null
    }

    private fun <T> call(m: Member, path: String, body: ByteArray?, timeout: Duration, read: (ByteArray) -> T): T? =
        request(m, path, body, timeout, read)
            ?.second

    /** The status, and what was read of a 200. Null: no answer, or one that can't be read. */
    private fun <T> request(
        m: Member,
        path: String,
        body: ByteArray?,
        timeout: Duration,
        read: (ByteArray) -> T,
    ): Pair<Int, T?>? {
        val r = http.callRaw(if (body == null) "GET" else "POST", m.addr.hostPort(), path, body, timeout)
        if (r !is RawResult.Answer) {
            log.debug("peer {} did not answer: {}", m.name, r)
            return null
        }
        return try {
            r.status to if (r.status == OK) read(r.body) else null
        } catch (e: kotlinx.serialization.SerializationException) {
            log.warn("peer {} not understood: {}", m.name, e.toString())
            null
        }
    }

    companion object {
        private val log = loggerOf(PeerClient::class.java)
        private val EXCHANGE_TIMEOUT = 700.milliseconds
        private val CONNECT_TIMEOUT = 400.milliseconds
        private const val OK = 200
        private const val NOT_FOUND = 404
    }
}
