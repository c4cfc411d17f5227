package glenspool.peer

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** Answers operators' queries and commands on the controllers' internal port, with one reply per message. */
class OperatorServer<Q, R> private constructor(
    private val decode: (ByteArray) -> Q,
    private val encode: (R) -> ByteArray,
    private val answer: (Q) -> R,
) : HttpHandler {
    override fun invoke(request: Request): Response {
        if (request.method != Method.POST) return Response(Status.METHOD_NOT_ALLOWED)
        return answerDecoded(request, decode) { encode(answer(it)) }
    }

    companion object {
        /** The server for operators' requests about the rollout. */
        fun forRollout(answer: (RolloutRequest) -> RolloutReply): OperatorServer<RolloutRequest, RolloutReply> =
            OperatorServer(
                decode = PeerWire::decodeRolloutRequest,
                encode = { PeerWire.encode(it) },
                answer = answer,
            )

        /** The server for operators' requests about a leader's orders and its recovery. */
        fun forRecovery(answer: (RecoveryRequest) -> RecoveryReply): OperatorServer<RecoveryRequest, RecoveryReply> =
            OperatorServer(
                decode = PeerWire::decodeRecoveryRequest,
                encode = { PeerWire.encode(it) },
                answer = answer,
            )
    }
}
