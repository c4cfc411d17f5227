package glenspool.peer

import glenspool.logging.loggerOf
import kotlinx.serialization.SerializationException
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** Decodes a message and answers it. Returns 400 if the message can't be decoded or [answer] returns null. */
internal fun <T> answerDecoded(request: Request, decode: (ByteArray) -> T, answer: (T) -> ByteArray?): Response {
    val message =
        try {
            decode(request.body.stream.readNBytes(MAX_MESSAGE_BYTES))
        } catch (e: SerializationException) {
            log.warn("request {} could not be decoded, answering 400: {}", request.uri.path, e.toString())
            return Response(Status.BAD_REQUEST)
        }
    return answer(message)?.let(::okResponse) ?: Response(Status.BAD_REQUEST)
}

internal fun okResponse(body: ByteArray): Response = Response(Status.OK).body(body.inputStream(), body.size.toLong())

private val log = loggerOf(PeerServer::class.java)
private const val MAX_MESSAGE_BYTES = 256 * 1024
