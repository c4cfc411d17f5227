package glenspool.api

import glenspool.http.cborResponse
import glenspool.http.retryLaterResponse
import glenspool.peer.RelayAnswer
import glenspool.wire.UserWire
import org.http4k.core.Response
import org.http4k.core.Status

internal fun UserAnswer.toResponse(): Response =
    when (this) {
        is UserAnswer.Accepted -> cborResponse(Status.CREATED, UserWire.acceptedStatus(jobId, abortedBy))
        is UserAnswer.Live ->
            cborResponse(Status.OK, UserWire.liveStatus(jobId, tasksDone, tasksRunning, unfinishedDependencies))
        is UserAnswer.Ended -> cborResponse(Status.OK, UserWire.endedStatus(jobId, outcome))
        is UserAnswer.NotFound -> cborResponse(Status.NOT_FOUND, UserWire.error("no such job: $jobId"))
        is UserAnswer.Refused -> cborResponse(status, UserWire.error(reason))
        UserAnswer.RateLimited -> retryLaterResponse(Status.TOO_MANY_REQUESTS)
        UserAnswer.TryLater, UserAnswer.Unreachable -> retryLaterResponse()
    }

/** The response to a health probe if the node accepts requests. */
internal fun readyResponse(): Response = cborResponse(Status.OK, emptyMap())

/** Asks the user to retry on a new connection, which the load balancer assigns to another node. */
internal fun retryElsewhereResponse(): Response = retryLaterResponse().header("Connection", "close")

internal fun Response.toRelayAnswer(): RelayAnswer =
    RelayAnswer(
        status = status.code,
        body = body.stream.readAllBytes(),
        retryAfter = header("Retry-After"),
    )

/** Converts the answer of the node that a request was relayed to into this node's response to the user. */
internal fun RelayAnswer.toResponse(): Response {
    val response =
        Response(Status(status, null))
            .header("Content-Type", "application/cbor")
            .body(body.inputStream())
    return if (retryAfter == null) response else response.header("Retry-After", retryAfter)
}
