package glenspool.api

import glenspool.state.Keys
import glenspool.state.StoreResult
import org.http4k.core.Status

/** The version that a condition of a transaction gives for a key that must not exist. */
internal const val ABSENT = 0L

/**
 * Returns the conditions that the job is neither live nor ended. With them a retry of its submission changes nothing,
 * no matter at which node and how late it arrives.
 */
internal fun notAcceptedConditions(jobId: String): Map<String, Long> =
    mapOf(
        Keys.job(jobId) to ABSENT,
        Keys.final(jobId) to ABSENT,
    )

/** Whether the key-value store refused the request only because it receives too many at present. */
internal val StoreResult.Refused.isRateLimit: Boolean get() = status == Status.TOO_MANY_REQUESTS.code
