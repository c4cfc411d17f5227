package glenspool.peer

import glenspool.logging.loggerOf
import kotlinx.serialization.SerializationException
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** Decodes a message and answers it; one that can't be decoded, or is answered with null, is a bad request. */
internal fun <T> answerDecoded(request: Request, decode: (ByteArray) -> T, answer: (T) -> ByteArray?): Response {
    val message =
        try {
            decode(request.body.stream.readNBytes(MAX_BYTES))
        } catch (e: SerializationException) {
            log.warn("{} not understood: {}", request.uri.path, e.toString())
            return Response(Status.BAD_REQUEST)
        }
    return answer(message)?.let(::okResponse) ?: Response(Status.BAD_REQUEST)
}

internal fun okResponse(body: ByteArray): Response = Response(Status.OK).body(body.inputStream(), body.size.toLong())

private val log = loggerOf(PeerServer::class.java)
private const val MAX_BYTES = 256 * 1024
