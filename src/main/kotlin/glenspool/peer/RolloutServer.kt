package glenspool.peer

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** Answers operators' questions and orders about the rollout, on the controllers' own port. */
class RolloutServer(private val answer: (RolloutRequest) -> RolloutReply) : HttpHandler {
    override fun invoke(request: Request): Response {
        if (request.method != Method.POST) return Response(Status.METHOD_NOT_ALLOWED)
        return answerDecoded(request, PeerWire::rolloutRequest) { PeerWire.encode(answer(it)) }
    }
}
