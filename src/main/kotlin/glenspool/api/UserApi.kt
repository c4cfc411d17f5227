package glenspool.api

import glenspool.config.Settings
import glenspool.core.model.MachineType
import glenspool.http.readBounded
import glenspool.peer.PeerClient
import glenspool.peer.RelayAnswer
import glenspool.peer.RelayRequest
import glenspool.rollout.FeaturePermits
import glenspool.state.JobRecordReader
import glenspool.state.KeyValueStoreClient
import glenspool.state.StoreCache
import glenspool.wire.isValidJobId
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.Uri

/**
 * Routes the users' requests. Any node answers them, always from the key-value store or from a store cache that was
 * brought up to date after the request arrived. A node that can't do so relays the request to a node that can, or
 * immediately asks the user to retry later.
 *
 * @property isIsolated whether this node has lost the key-value store and every other node
 * @param mayConfirmCancellation whether a job's stored cancellation may be reported to a user yet, which is the case
 *   when the other controllers have received it or can't be reached
 * @param machineTypes returns the machine types that the cloud offers, or null while they are unknown
 */
class UserApi(
    settings: Settings,
    private val store: KeyValueStoreClient,
    cache: StoreCache,
    peers: PeerClient,
    private val isIsolated: () -> Boolean,
    features: FeaturePermits,
    mayConfirmCancellation: (jobId: String) -> Boolean,
    machineTypes: () -> List<MachineType>?,
) : HttpHandler {
    private val relay = PeerRelay(peers)
    private val query: JobQuery
    private val submission: JobSubmission
    private val cancellation: JobCancellation

    init {
        val records = JobRecordReader(cache)
        val finalStates = FinalStates(store::get)
        val dependencyResolver = DependencyResolver(cache, records, finalStates)
        query = JobQuery(cache, records, finalStates, dependencyResolver, mayConfirmCancellation)
        val validator = SubmissionValidator(settings, features, machineTypes)
        val acceptance = JobAcceptance(settings, store, features, query)
        submission = JobSubmission(cache, features, validator, dependencyResolver, query, acceptance)
        cancellation = JobCancellation(store, query)
    }

    override fun invoke(request: Request): Response {
        if (request.uri.path == UserPaths.READY && request.method == Method.GET) return ready()
        val body = request.body.readBounded() ?: return BODY_TOO_LONG.toResponse()
        if (isIsolated()) return retryElsewhereResponse()
        val userRequest = UserRequest(request.method, request.uri.path, body)
        // While the store is unreachable, a peer answers sooner than another request to the store would time out.
        if (store.isUnreachable) relay.relay(userRequest)?.let { return it }
        val answer = answer(userRequest)
        val relayed = if (answer == UserAnswer.Unreachable) relay.relay(userRequest) else null
        return relayed ?: answer.toResponse()
    }

    /** Answers a request that another node relayed, without relaying it again. */
    fun answerRelayed(request: RelayRequest): RelayAnswer {
        val userRequest = UserRequest(Method.valueOf(request.method), request.path, request.body)
        return answer(userRequest).toResponse().toRelayAnswer()
    }

    /**
     * Answers the health probe. A node that listens can accept requests: without the key-value store it relays them, or
     * immediately asks the user to retry later. Reporting such a node as not ready would only add the load balancer's
     * delay to the end of an outage. A node that has also lost the other nodes is not ready, because it can't process
     * any request, whereas the other nodes may work.
     */
    private fun ready(): Response = if (isIsolated()) UserAnswer.TryLater.toResponse() else readyResponse()

    private fun answer(request: UserRequest): UserAnswer {
        if (request.path == UserPaths.JOBS) {
            return if (request.method == Method.POST) submission.submit(request.body) else USE_POST
        }
        if (!request.path.startsWith(UserPaths.JOB_PREFIX)) return NO_SUCH_PATH
        val jobPath = Uri.of(request.path).path.removePrefix(UserPaths.JOB_PREFIX)
        if (!jobPath.endsWith(UserPaths.CANCEL_SUFFIX)) {
            return if (request.method == Method.GET) withValidId(jobPath, query::find) else USE_GET
        }
        if (request.method != Method.POST) return USE_POST
        return withValidId(jobPath.removeSuffix(UserPaths.CANCEL_SUFFIX), cancellation::cancel)
    }

    private inline fun withValidId(jobId: String, answer: (jobId: String) -> UserAnswer): UserAnswer =
        when {
            isValidJobId(jobId) -> answer(jobId)
            else -> NO_SUCH_JOB
        }

    private companion object {
        val BODY_TOO_LONG = UserAnswer.Refused(Status.BAD_REQUEST, "the body is longer than 64 KiB")
        val NO_SUCH_PATH = UserAnswer.Refused(Status.NOT_FOUND, "no such path")
        val NO_SUCH_JOB = UserAnswer.Refused(Status.NOT_FOUND, "no such job")
        val USE_GET = UserAnswer.Refused(Status.METHOD_NOT_ALLOWED, "use GET")
        val USE_POST = UserAnswer.Refused(Status.METHOD_NOT_ALLOWED, "use POST")
    }
}
