package glenspool.cloud

import com.google.common.util.concurrent.RateLimiter
import glenspool.core.ScaleOut
import glenspool.core.model.ListedMachine
import glenspool.http.CallResult
import glenspool.http.HttpClient
import glenspool.logging.loggerOf
import glenspool.wire.CloudWire
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import kotlin.time.Duration.Companion.seconds

/** The outcome of a scale-out request. */
sealed interface ScaleOutOutcome {
    /** The cloud has rented these [machines], by id. */
    data class Rented(val machines: List<String>) : ScaleOutOutcome

    /** The cloud rented nothing and will not do so for this request later. */
    data object Refused : ScaleOutOutcome

    /** The machines may have been rented, or may be rented later. The same request may be sent again. */
    data object Unknown : ScaleOutOutcome
}

/** A page of the cloud's list of machines. */
data class MachinePage(val machines: List<ListedMachine>, val hasNextPage: Boolean)

/** A client of the cloud's API. Each request waits until the cloud's request rate allows it. None is retried. */
@Suppress("UnstableApiUsage")
class CloudClient(private val addr: String, private val http: HttpClient, rps: Double) {
    /** The rate at which this client sends requests at most. */
    val requestsPerSecond = rps * RATE_SHARE
    private val limiter by lazy { RateLimiter.create(requestsPerSecond) }

    /**
     * Reads the machine types and returns them in the protocol's form, in which they are stored for other nodes.
     * Returns null if there was no usable response.
     */
    fun readTypes(): Fields? = read("/flavors") { it }

    /** Reads the list of all machines page by page. Returns null if there was no usable response for a page. */
    fun listMachines(): List<ListedMachine>? {
        val machines = ArrayList<ListedMachine>()
        while (true) {
            val page = readPage(machines.lastOrNull()?.id) ?: return null
            machines.addAll(page.machines)
            if (!page.hasNextPage || page.machines.isEmpty()) return machines
        }
    }

    /** Reads the page of the list that begins after [afterMachine]; null if there was no usable response. */
    fun readPage(afterMachine: String?): MachinePage? {
        val start = if (afterMachine.isNullOrEmpty()) "" else "&after=$afterMachine"
        return read("/hosts?page=$MACHINES_PER_PAGE$start") {
            MachinePage(CloudWire.decodeMachines(it), CloudWire.hasNextPage(it))
        }
    }

    /**
     * Rents machines. The request's id makes this idempotent, so the request may be sent again as long as it is
     * unanswered.
     */
    fun rent(request: ScaleOut): ScaleOutOutcome {
        limiter.acquire()
        val body = CloudWire.rentalRequest(request.request, request.type, request.zone, request.spot, request.count)
        val reply = http.post(addr, "/hosts", body, TIMEOUT)
        return if (reply is CallResult.Response) outcomeOf(reply) else ScaleOutOutcome.Unknown
    }

    private fun outcomeOf(response: CallResult.Response): ScaleOutOutcome =
        when (response.status) {
            OK -> ScaleOutOutcome.Rented(CloudWire.decodeMachineIds(response.body))
            BAD_REQUEST -> ScaleOutOutcome.Refused
            UNAVAILABLE ->
                if (CloudWire.isOutOfCapacity(response.body)) ScaleOutOutcome.Refused else ScaleOutOutcome.Unknown
            else -> ScaleOutOutcome.Unknown
        }

    /**
     * Deletes machines.
     *
     * @return true only if the cloud has confirmed that the machines are deleted
     */
    fun delete(ids: List<String>): Boolean {
        limiter.acquire()
        val reply = http.post(addr, "/hosts/delete", CloudWire.deletionRequest(ids), TIMEOUT)
        return reply is CallResult.Response && reply.status == OK
    }

    private fun <T> read(path: String, decode: (Fields) -> T): T? {
        limiter.acquire()
        val reply = http.get(addr, path, TIMEOUT)
        if (reply !is CallResult.Response || reply.status != OK) return null
        return try {
            decode(reply.body)
        } catch (e: MalformedMessage) {
            loggerOf(CloudClient::class.java)
                .warn("response of the cloud could not be decoded and is ignored: {}", e.message)
            null
        }
    }

    companion object {
        /** How long a request waits for the response. */
        val TIMEOUT = 5.seconds
        private const val OK = 200
        private const val BAD_REQUEST = 400
        private const val UNAVAILABLE = 503
        private const val MACHINES_PER_PAGE = 500

        /**
         * The share of the cloud's request rate that this node uses. The rest is for another node that may still, or
         * already, send requests as the leader.
         */
        private const val RATE_SHARE = 0.8
    }
}
