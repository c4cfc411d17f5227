package glenspool.controller

import glenspool.api.UserApi
import glenspool.api.fenceFilter
import glenspool.api.refusalFilter
import glenspool.peer.RelayAnswer
import glenspool.peer.RelayRequest
import glenspool.rollout.FeatureGate
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.then

/**
 * Handles users' requests, whether received directly or relayed by another node. If levels are managed, a fenced
 * process refuses all of them, and refusals are counted.
 */
internal class UserRouter(
    private val userApi: UserApi,
    /** Null if levels are not managed. */
    private val gate: FeatureGate?,
    health: HealthCounters,
) : HttpHandler {
    private val handler: HttpHandler =
        if (gate == null) {
            userApi
        } else {
            refusalFilter(health::countRefusal).then(fenceFilter(gate::fence)).then(userApi)
        }

    override fun invoke(request: Request): Response = handler(request)

    /** Answers a request that another node relayed. A fenced process answers as if it had lost the key-value store. */
    fun handleRelayed(request: RelayRequest): RelayAnswer =
        if (gate?.fence() != null) {
            RelayAnswer(Status.SERVICE_UNAVAILABLE.code, ByteArray(0), null)
        } else {
            userApi.answerRelayed(request)
        }
}
