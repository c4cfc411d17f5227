package glenspool.api

import glenspool.http.cbor
import glenspool.rollout.Fence
import org.http4k.core.Filter
import org.http4k.core.Response
import org.http4k.core.Status

/**
 * Refuses every request, the health probe too, while this process must not serve, and says which level it would need.
 */
fun fenceFilter(fence: () -> Fence?): Filter =
    Filter { next ->
        { request -> fence()?.let(::fenced) ?: next(request) }
    }

/** Reports each refusal that asks the client to come back. */
fun refusalFilter(refused: () -> Unit): Filter =
    Filter { next ->
        { request ->
            next(request).also {
                if (it.status.code in refusals &&
                    request.uri.path != READY_PATH
                ) {
                    refused()
                }
            }
        }
    }

private fun fenced(fence: Fence): Response =
    cbor(Status.SERVICE_UNAVAILABLE, mapOf("error" to fence.toString(), "needs_level" to fence.neededLevel.toLong()))
        .header("Retry-After", FENCED_RETRY_SECONDS.toString())
        .header("Connection", "close")

private val refusals = setOf(Status.TOO_MANY_REQUESTS.code, Status.SERVICE_UNAVAILABLE.code)
private const val READY_PATH = "/ready"

/** Another node serves at once; this one will not for a while. */
private const val FENCED_RETRY_SECONDS = 1
