package glenspool.peer

import glenspool.config.Member
import glenspool.http.HttpClient
import glenspool.http.RawResult
import glenspool.http.hostPort
import glenspool.logging.loggerOf
import kotlinx.serialization.SerializationException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Requests to the other controllers. They are hints and relays only: no rule depends on a peer's silence. */
class PeerClient(private val members: List<Member>) {
    private val http = HttpClient(CONNECT_TIMEOUT)

    /** The statuses of those members that answer. */
    fun statuses(): List<PeerStatus> =
        members.mapNotNull { member ->
            request(member, PeerPaths.STATUS, null, STATUS_TIMEOUT, PeerWire::decodeStatus).valueOrNull()
        }

    /** How an exchange of known cancellations ended. */
    sealed interface ExchangeResult {
        /** It answered with [message]. */
        data class Answered(val message: CancellationMessage) : ExchangeResult

        /** The peer runs a version that takes no part in the exchange. */
        data object Unsupported : ExchangeResult

        /** The peer did not answer, or refused, or its answer can't be decoded. */
        data object Failed : ExchangeResult
    }

    /** Sends what this controller knows of cancellations and reads what the other one does. */
    fun exchange(with: Member, message: CancellationMessage): ExchangeResult {
        val body = PeerWire.encode(message)
        val reply = request(with, PeerPaths.CANCELLATIONS, body, EXCHANGE_TIMEOUT, PeerWire::decodeCancellations)
        return when {
            reply is PeerReply.Success -> ExchangeResult.Answered(reply.value)
            reply is PeerReply.Failure && reply.status == NOT_FOUND -> ExchangeResult.Unsupported
            else -> ExchangeResult.Failed
        }
    }

    /**
     * Asks the members in turn; the first that takes the request answers for all. Null: none took it. [path] says which
     * versions may take it, see [PeerPaths]; [timeout] is for each member.
     */
    fun relay(request: RelayRequest, timeout: Duration, path: String = PeerPaths.RELAY): RelayAnswer? {
        val body = PeerWire.encode(request)
        for (member in members) {
            val answer = request(member, path, body, timeout, PeerWire::decodeRelayAnswer).valueOrNull() ?: continue
            if (answer.status < SERVER_ERRORS) return answer
        }
        return null
    }

    private sealed interface PeerReply<out T> {
        data class Success<T>(val value: T) : PeerReply<T>

        /** Any other [status] than 200. */
        data class Failure(val status: Int) : PeerReply<Nothing>

        /** No answer, or one that can't be decoded. */
        data object None : PeerReply<Nothing>
    }

    private fun <T> PeerReply<T>.valueOrNull(): T? = (this as? PeerReply.Success)?.value

    /** [body]: null makes it a GET, otherwise it is a POST. */
    private fun <T> request(
        member: Member,
        path: String,
        body: ByteArray?,
        timeout: Duration,
        decode: (ByteArray) -> T,
    ): PeerReply<T> {
        val method = if (body == null) "GET" else "POST"
        val result = http.callRaw(method, member.addr.hostPort(), path, body, timeout)
        if (result !is RawResult.Response) {
            log.debug("peer {} did not answer: {}", member.name, result)
            return PeerReply.None
        }
        if (result.status != OK) return PeerReply.Failure(result.status)
        return try {
            PeerReply.Success(decode(result.body))
        } catch (e: SerializationException) {
            log.warn("answer of peer {} not understood: {}", member.name, e.toString())
            PeerReply.None
        }
    }

    private companion object {
        val log = loggerOf(PeerClient::class.java)
        val CONNECT_TIMEOUT = 400.milliseconds
        val STATUS_TIMEOUT = 700.milliseconds
        val EXCHANGE_TIMEOUT = 700.milliseconds
        const val OK = 200
        const val NOT_FOUND = 404

        /** The first of the statuses by which a server says that it could not answer. */
        const val SERVER_ERRORS = 500
    }
}
