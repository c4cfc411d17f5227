package glenspool.cloud

import com.google.common.util.concurrent.RateLimiter
import glenspool.core.ScaleOut
import glenspool.core.model.ListedMachine
import glenspool.http.CallResult
import glenspool.http.HttpCaller
import glenspool.logging.loggerOf
import glenspool.wire.CloudWire
import glenspool.wire.MalformedMessage
import kotlin.time.Duration.Companion.seconds

/** How a rental request ended. */
sealed interface ScaleOutOutcome {
    data class Rented(val machines: List<String>) : ScaleOutOutcome

    data object Refused : ScaleOutOutcome

    data object Unknown : ScaleOutOutcome
}

/** The cloud's requests, within its rate. */
@Suppress("UnstableApiUsage")
class CloudClient(private val addr: String, private val http: HttpCaller, rps: Double) {
    /** Leaves some of the rate to a node that may lead at the same time. */
    private val rate by lazy { RateLimiter.create(rps * 0.8) }

    fun typesRaw(): glenspool.wire.Fields? = read("/flavors") { it }

    fun machines(): List<ListedMachine>? {
        val all = ArrayList<ListedMachine>()
        var after = ""
        while (true) {
            val (page, more) =
                read("/hosts?page=500" + (if (after.isEmpty()) "" else "&after=$after")) {
                    CloudWire.decodeMachines(it) to CloudWire.more(it)
                } ?: return null
            all.addAll(page)
            if (!more || page.isEmpty()) return all
            after = page.last().id
        }
    }

    fun rent(r: ScaleOut): ScaleOutOutcome {
        rate.acquire()
        return when (
            val a =
                http
                    .post(addr, "/hosts", CloudWire.rent(r.request, r.type, r.zone, r.spot, r.count), TIMEOUT)
        ) {
            is CallResult.Answer ->
                when (a.status) {
                    200 -> ScaleOutOutcome.Rented(CloudWire.names(a.body))
                    400 -> ScaleOutOutcome.Refused
                    503 -> if (a.body["error"] == "no capacity") ScaleOutOutcome.Refused else ScaleOutOutcome.Unknown
                    else -> ScaleOutOutcome.Unknown
                }
            else -> ScaleOutOutcome.Unknown
        }
    }

    /** True only once the cloud has said that the machines are gone. */
    fun delete(ids: List<String>): Boolean {
        rate.acquire()
        val a = http.post(addr, "/hosts/delete", CloudWire.delete(ids), TIMEOUT)
        return a is CallResult.Answer && a.status == 200
    }

    private fun <T> read(path: String, parse: (glenspool.wire.Fields) -> T): T? {
        rate.acquire()
        val a = http.get(addr, path, TIMEOUT)
        if (a !is CallResult.Answer || a.status != 200) return null
        return try {
            parse(a.body)
        } catch (e: MalformedMessage) {
            loggerOf(CloudClient::class.java).warn("cloud answer not understood: {}", e.message)
            null
        }
    }

    companion object {
        private val TIMEOUT = 5.seconds
    }
}
