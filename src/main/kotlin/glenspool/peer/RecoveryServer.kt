package glenspool.peer

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** Answers operators' questions and orders about recovery, on the controllers' own port. */
class RecoveryServer(private val answer: (RecoveryRequest) -> RecoveryReply) : HttpHandler {
    override fun invoke(request: Request): Response {
        if (request.method != Method.POST) return Response(Status.METHOD_NOT_ALLOWED)
        return answerDecoded(request, PeerWire::recoveryRequest) { PeerWire.encode(answer(it)) }
    }
}
