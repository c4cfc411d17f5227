package glenspool.api

import glenspool.state.Keys
import glenspool.state.StoreResult
import org.http4k.core.Status

/** The version by which a compare-and-swap demands that a key does not exist. */
internal const val ABSENT = 0L

/** A job may be stored only if it is neither live nor ended: a retry, at any node and however late, changes nothing. */
internal fun notAcceptedConditions(jobId: String): Map<String, Long> =
    mapOf(
        Keys.job(jobId) to ABSENT,
        Keys.final(jobId) to ABSENT,
    )

/** Whether the key-value store refused the request only because there are too many at present. */
internal val StoreResult.Refused.isRateLimit: Boolean get() = status == Status.TOO_MANY_REQUESTS.code
