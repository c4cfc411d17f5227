package glenspool.api

import glenspool.http.cborResponse
import glenspool.rollout.Fence
import glenspool.wire.UserWire
import org.http4k.core.Filter
import org.http4k.core.Response
import org.http4k.core.Status

/**
 * Refuses every request, including health probes, while [fence] returns a fence that forbids this process to serve. The
 * response names the level that the process would need to support.
 */
fun fenceFilter(fence: () -> Fence?): Filter =
    Filter { next ->
        { request -> fence()?.let(::fencedResponse) ?: next(request) }
    }

private fun fencedResponse(fence: Fence): Response =
    cborResponse(Status.SERVICE_UNAVAILABLE, UserWire.fenced(fence.toString(), fence.neededLevel))
        .header("Retry-After", FENCED_RETRY_SECONDS.toString())
        .header("Connection", "close")

/** Short, because another node serves the retry immediately, whereas this one stays fenced for some time. */
private const val FENCED_RETRY_SECONDS = 1
