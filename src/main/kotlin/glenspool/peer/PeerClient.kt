package glenspool.peer

import glenspool.config.Member
import glenspool.http.HttpClient
import glenspool.http.RawResult
import glenspool.http.hostPort
import glenspool.logging.loggerOf
import kotlinx.serialization.SerializationException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Sends requests to the other controllers. They only gather hints and relay users' requests: no rule draws a conclusion
 * from a missing answer.
 */
class PeerClient(private val members: List<Member>) {
    private val http = HttpClient(CONNECT_TIMEOUT)

    /** Returns the statuses of the members that answer. */
    fun statuses(): List<PeerStatus> =
        members.mapNotNull { member ->
            request(member, PeerPaths.STATUS, null, STATUS_TIMEOUT, PeerWire::decodeStatus).valueOrNull()
        }

    /** The result of an exchange of cancellations. */
    sealed interface ExchangeResult {
        /** The peer answered with [message]. */
        data class Answered(val message: CancellationMessage) : ExchangeResult

        /** The peer runs a version that does not support the exchange. */
        data object Unsupported : ExchangeResult

        /** The peer did not answer or refused the request, or its answer can't be decoded. */
        data object Failed : ExchangeResult
    }

    /** Sends the cancellations that this controller has to a member, and returns those that the member has. */
    fun exchange(member: Member, message: CancellationMessage): ExchangeResult {
        val body = PeerWire.encode(message)
        val reply = request(member, PeerPaths.CANCELLATIONS, body, EXCHANGE_TIMEOUT, PeerWire::decodeCancellations)
        return when {
            reply is PeerReply.Success -> ExchangeResult.Answered(reply.value)
            reply is PeerReply.Failure && reply.status == NOT_FOUND -> ExchangeResult.Unsupported
            else -> ExchangeResult.Failed
        }
    }

    /**
     * Sends the request to the members in turn and returns the first answer that is not a server error, or null if
     * there is none.
     *
     * @param timeout the limit for each member's answer
     * @param path determines which versions may accept the request, see [PeerPaths]
     */
    fun relay(request: RelayRequest, timeout: Duration, path: String = PeerPaths.RELAY): RelayAnswer? {
        val body = PeerWire.encode(request)
        for (member in members) {
            val answer = request(member, path, body, timeout, PeerWire::decodeRelayAnswer).valueOrNull() ?: continue
            if (answer.status < FIRST_SERVER_ERROR) return answer
        }
        return null
    }

    private sealed interface PeerReply<out T> {
        data class Success<T>(val value: T) : PeerReply<T>

        /** The member answered with a [status] other than 200. */
        data class Failure(val status: Int) : PeerReply<Nothing>

        /** The member did not answer, or its answer can't be decoded. */
        data object None : PeerReply<Nothing>
    }

    private fun <T> PeerReply<T>.valueOrNull(): T? = (this as? PeerReply.Success)?.value

    /** Sends a POST request with [body], or a GET request if [body] is null. */
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
            log.warn("answer of peer {} could not be decoded, ignoring it: {}", member.name, e.toString())
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

        /** The lowest of the statuses that report a server error. */
        const val FIRST_SERVER_ERROR = 500
    }
}
