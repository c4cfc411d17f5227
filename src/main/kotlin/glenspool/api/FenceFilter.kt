package glenspool.api

import glenspool.http.cborResponse
import glenspool.rollout.Fence
import glenspool.wire.UserWire
import org.http4k.core.Filter
import org.http4k.core.Response
import org.http4k.core.Status

/**
 * Refuses every request, the health probe too, while [fence] forbids this process to serve, and says which level it
 * would need.
 */
fun fenceFilter(fence: () -> Fence?): Filter =
    Filter { next ->
        { request -> fence()?.let(::fencedResponse) ?: next(request) }
    }

private fun fencedResponse(fence: Fence): Response =
    cborResponse(Status.SERVICE_UNAVAILABLE, UserWire.fenced(fence.toString(), fence.neededLevel))
        .header("Retry-After", FENCED_RETRY_SECONDS.toString())
        .header("Connection", "close")

/** Another node serves at once; this one will not for a while. */
private const val FENCED_RETRY_SECONDS = 1
