package glenspool.api

import org.http4k.core.Method

/** The paths of the users' requests. */
internal object UserPaths {
    const val READY = "/ready"
    const val JOBS = "/api/jobs"
    const val JOB_PREFIX = "$JOBS/"
    const val CANCEL_SUFFIX = "/withdraw"
}

/** A user's request, received by this node or relayed by another one. */
internal class UserRequest(val method: Method, val path: String, val body: ByteArray)
