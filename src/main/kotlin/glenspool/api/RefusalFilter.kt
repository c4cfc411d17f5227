package glenspool.api

import org.http4k.core.Filter
import org.http4k.core.Status

/** Calls [onRefusal] for each response that asks a user to come back; the health probe's are not counted. */
fun refusalFilter(onRefusal: () -> Unit): Filter =
    Filter { next ->
        { request ->
            val response = next(request)
            if (response.status.code in REFUSALS && request.uri.path != UserPaths.READY) onRefusal()
            response
        }
    }

private val REFUSALS = setOf(Status.TOO_MANY_REQUESTS.code, Status.SERVICE_UNAVAILABLE.code)
