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

/** How a scale-out request ended. */
sealed interface ScaleOutOutcome {
    /** The cloud has rented these [machines], by id. */
    data class Rented(val machines: List<String>) : ScaleOutOutcome

    /** The cloud rented nothing, and won't on this request. */
    data object Refused : ScaleOutOutcome

    /** Perhaps rented, perhaps later; the same request may be sent again. */
    data object Unknown : ScaleOutOutcome
}

/** The requests of the cloud's API. Each waits until the cloud's request rate allows it; none is retried. */
@Suppress("UnstableApiUsage")
class CloudClient(private val addr: String, private val http: HttpClient, rps: Double) {
    private val limiter by lazy { RateLimiter.create(rps * RATE_SHARE) }

    /** The machine types in the protocol's form, as it is stored for other nodes; null: no usable answer. */
    fun readTypes(): Fields? = read("/flavors") { it }

    /** All machines, page by page; null if any page got no usable answer. */
    fun listMachines(): List<ListedMachine>? {
        val machines = ArrayList<ListedMachine>()
        while (true) {
            val page = readPage(machines.lastOrNull()?.id) ?: return null
            machines.addAll(page.machines)
            if (!page.hasNext || page.machines.isEmpty()) return machines
        }
    }

    private class Page(val machines: List<ListedMachine>, val hasNext: Boolean)

    private fun readPage(after: String?): Page? {
        val start = if (after.isNullOrEmpty()) "" else "&after=$after"
        return read("/hosts?page=$PAGE_MACHINES$start") {
            Page(CloudWire.decodeMachines(it), CloudWire.hasNextPage(it))
        }
    }

    /** Rents machines. The request's id makes this idempotent, so that it may be sent again while unanswered. */
    fun rent(request: ScaleOut): ScaleOutOutcome {
        limiter.acquire()
        val body = CloudWire.rentalRequest(request.request, request.type, request.zone, request.spot, request.count)
        val reply = http.post(addr, "/hosts", body, TIMEOUT)
        return if (reply is CallResult.Response) outcomeOf(reply) else ScaleOutOutcome.Unknown
    }

    private fun outcomeOf(answer: CallResult.Response): ScaleOutOutcome =
        when (answer.status) {
            OK -> ScaleOutOutcome.Rented(CloudWire.decodeMachineIds(answer.body))
            BAD_REQUEST -> ScaleOutOutcome.Refused
            UNAVAILABLE ->
                if (CloudWire.isOutOfCapacity(answer.body)) ScaleOutOutcome.Refused else ScaleOutOutcome.Unknown
            else -> ScaleOutOutcome.Unknown
        }

    /** Deletes machines. True only once the cloud has confirmed that they are gone. */
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
            loggerOf(CloudClient::class.java).warn("cloud response not decodable: {}", e.message)
            null
        }
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        const val UNAVAILABLE = 503
        const val PAGE_MACHINES = 500

        /** Leaves some of the rate to another node that may still, or already, send requests as the leader. */
        const val RATE_SHARE = 0.8
        val TIMEOUT = 5.seconds
    }
}
