package glenspool.api

import org.http4k.core.Filter
import org.http4k.core.Status

/** Calls [onRefusal] for each response that asks a user to retry later, except for responses to health probes. */
fun refusalFilter(onRefusal: () -> Unit): Filter =
    Filter { next ->
        { request ->
            val response = next(request)
            if (response.status.code in REFUSAL_STATUS_CODES && request.uri.path != UserPaths.READY) onRefusal()
            response
        }
    }

private val REFUSAL_STATUS_CODES = setOf(Status.TOO_MANY_REQUESTS.code, Status.SERVICE_UNAVAILABLE.code)
