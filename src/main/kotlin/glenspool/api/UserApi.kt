package glenspool.api

import com.google.common.cache.CacheBuilder
import glenspool.config.Settings
import glenspool.controller.wallClock
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.MachineType
import glenspool.http.bounded
import glenspool.http.cbor
import glenspool.http.tryLater
import glenspool.peer.PeerClient
import glenspool.peer.RelayAnswer
import glenspool.peer.RelayRequest
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.Replica
import glenspool.state.StateClient
import glenspool.state.StateResult
import glenspool.wire.Cbor
import glenspool.wire.Fields
import glenspool.wire.JobWire
import glenspool.wire.MalformedMessage
import glenspool.wire.RecordWire
import glenspool.wire.Stage
import glenspool.wire.validJobId
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.Uri
import java.util.BitSet
import java.util.concurrent.ThreadLocalRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * The users' requests. Any node answers them, and always from the state service or from a copy brought up to
 * date after the request came; a node that can't, passes the request to one that can, or says so at once.
 */
class UserApi(
    private val settings: Settings,
    private val state: StateClient,
    private val replica: Replica,
    private val peers: PeerClient,
    private val isolated: () -> Boolean,
    private val types: () -> List<MachineType>?,
) : HttpHandler {
    private val teams = settings.teams.associateBy { it.name }

    /** Final states never change, so they may be remembered. */
    private val finals = CacheBuilder.newBuilder().maximumSize(4000).build<String, Fields>()

    override fun invoke(request: Request): Response {
        val path = request.uri.path
        if (path == "/ready" && request.method == Method.GET) return ready()
        val body = request.body.bounded() ?: return error(Status.BAD_REQUEST, "the body is longer than 64 KiB")
        // Neither the state service nor a peer can be asked: the user is sent elsewhere at once, by a new connection.
        if (isolated()) return tryLater().header("Connection", "close")
        // Out of the state service's reach, a peer answers sooner than another attempt would time out.
        if (state.failing) relayed(request.method, path, body)?.let { return it }
        return serve(request.method, path, body) ?: relayed(request.method, path, body) ?: tryLater()
    }

    private fun relayed(method: Method, path: String, body: ByteArray): Response? {
        val passed = peers.relay(RelayRequest(method.name, path, body), RELAY_TIMEOUT) ?: return null
        val r = Response(Status(passed.status, null)).header("Content-Type", "application/cbor").body(passed.body.inputStream())
        return if (passed.retryAfter != null) r.header("Retry-After", passed.retryAfter) else r
    }

    /** Answers a request that another node passed on; it is not passed on again. */
    fun local(r: RelayRequest): RelayAnswer {
        val a = serve(Method.valueOf(r.method), r.path, r.body) ?: tryLater()
        return RelayAnswer(a.status.code, a.body.stream.readAllBytes(), a.header("Retry-After"))
    }

    /**
     * A node that listens can take requests: without the state service it passes them on, or tells the user at
     * once when to come back. Calling it unready would only add the load balancer's pause to an outage's end. But a
     * node that has lost the other nodes as well can do nothing for anybody, while they may be well.
     */
    private fun ready(): Response = if (isolated()) tryLater() else cbor(Status.OK, emptyMap())

    /** Null: this node can't reach the state service. */
    private fun serve(method: Method, path: String, body: ByteArray): Response? {
        if (path == JOBS) return if (method == Method.POST) submit(body) else error(Status.METHOD_NOT_ALLOWED, "use POST")
        if (!path.startsWith("$JOBS/")) return error(Status.NOT_FOUND, "no such path")
        val rest = Uri.of(path).path.removePrefix("$JOBS/")
        if (rest.endsWith(WITHDRAW)) {
            if (method != Method.POST) return error(Status.METHOD_NOT_ALLOWED, "use POST")
            return withdraw(rest.removeSuffix(WITHDRAW))
        }
        if (method != Method.GET) return error(Status.METHOD_NOT_ALLOWED, "use GET")
        return if (validJobId(rest)) answer(look(rest), rest) else error(Status.NOT_FOUND, "no such job")
    }

    private sealed interface Found {
        data class Live(val record: JobRecord) : Found

        data class Ended(val body: Fields) : Found

        data object None : Found

        data object Unreachable : Found
    }

    /** The job's state at some moment after this call began. */
    private fun look(id: String): Found {
        finals.getIfPresent(id)?.let { return Found.Ended(it) }
        if (!replica.sync(SYNC_TIMEOUT)) return Found.Unreachable
        // Read one by one, a cancelled job that is just being closed could look live and not cancelled.
        val (live, cancelled) = replica.atOnce { get(Keys.job(id)) to (get(Keys.cancel(id)) != null) }
        if (live != null) return if (cancelled) Found.Ended(JobWire.status(id, Stage.CANCELLED)) else Found.Live(RecordWire.decode(live.value))
        // Not live at a moment after the request came. A record moves from live to final in one transaction and
        // never back, so what isn't final now was not accepted at that moment.
        return when (val r = state.get(Keys.final(id))) {
            is StateResult.Ok -> Found.Ended(finalBody(id, r.value.value).also { finals.put(id, it) })
            is StateResult.Missing -> Found.None
            else -> Found.Unreachable
        }
    }

    private fun finalBody(id: String, v: Fields): Fields =
        if (v["end"] == "done") JobWire.status(id, Stage.DONE, (v["tasks"] as? Long ?: 0L).toInt(), 0) else JobWire.status(id, Stage.CANCELLED)

    private fun answer(f: Found, id: String): Response? = when (f) {
        is Found.Live -> cbor(Status.OK, liveBody(f.record))
        is Found.Ended -> cbor(Status.OK, f.body)
        Found.None -> error(Status.NOT_FOUND, "no such job: $id")
        Found.Unreachable -> null
    }

    private fun liveBody(r: JobRecord): Fields {
        val chunked = replica.under(Keys.chunks(r.spec.id)).sumOf { RecordWire.decodeBits(it.value["done"] as String).cardinality() }
        val done = r.done.cardinality() + chunked
        return JobWire.status(r.spec.id, if (r.intents.isEmpty()) Stage.QUEUED else Stage.RUNNING, done, r.intents.size)
    }

    private fun submit(body: ByteArray): Response? {
        val spec = try {
            JobWire.decode(Cbor.decodeMap(body))
        } catch (e: MalformedMessage) {
            return error(Status.BAD_REQUEST, e.message ?: "malformed")
        }
        if (spec.recordBytes > settings.stateLimits.valueBytes / 2) return error(Status.BAD_REQUEST, "the job's description is too long")
        val fault = never(spec)
        if (fault != null) {
            // A job that is known already is answered as known, whatever the checks say today.
            return when (val f = look(spec.id)) {
                Found.None -> if (fault == UNDECIDED) tryLater() else error(Status.UNPROCESSABLE_ENTITY, fault)
                else -> answer(f, spec.id)
            }
        }
        val begun = TimeSource.Monotonic.markNow()
        val record = RecordWire.encode(JobRecord(spec, wallClock(), 0, BitSet(), emptyList()))
        while (true) {
            // Both keys must be absent: a retry, at any node and however late, then changes nothing.
            when (val r = state.transact(mapOf(Keys.job(spec.id) to 0L, Keys.final(spec.id) to 0L), listOf(Put(Keys.job(spec.id), record)))) {
                is StateResult.Ok -> return cbor(Status.CREATED, JobWire.status(spec.id, Stage.QUEUED))
                is StateResult.Conflict -> return answer(look(spec.id), spec.id)
                is StateResult.Refused -> {
                    if (r.status == 400) return error(Status.BAD_REQUEST, "the job's description is too long")
                    if (r.status != 429) return null
                    if (begun.elapsedNow() > WRITE_PATIENCE) return tryLater(Status.TOO_MANY_REQUESTS)
                    Thread.sleep(ThreadLocalRandom.current().nextLong(40, 120))
                }
                // It may have been stored: only a read tells.
                is StateResult.Unknown, StateResult.Missing -> return when (val f = look(spec.id)) {
                    is Found.Live, is Found.Ended -> answer(f, spec.id)
                    Found.None, Found.Unreachable -> tryLater()
                }
            }
        }
    }

    /** Why the job can never run; null if it can. */
    private fun never(spec: JobSpec): String? {
        val team = teams[spec.team] ?: return "unknown team ${spec.team}"
        val n = if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        if (team.cpusMax != null && spec.need.cpus * n > team.cpusMax + EPS) return "more CPUs than the team's limit"
        if (team.gpusMax != null && spec.need.gpus * n > team.gpusMax + EPS) return "more GPUs than the team's limit"
        val known = types() ?: return UNDECIDED
        val fits = known.any { t ->
            (spec.types == null || t.name in spec.types) && spec.need.fits(t.room) && (spec.zone == null || spec.zone in t.zones || spec.zone in settings.zones)
        }
        return if (fits) null else "no allowed machine type is large enough"
    }

    private fun withdraw(id: String): Response? {
        if (!validJobId(id)) return error(Status.NOT_FOUND, "no such job")
        when (val f = look(id)) {
            is Found.Live -> Unit
            else -> return answer(f, id)
        }
        val begun = TimeSource.Monotonic.markNow()
        while (true) {
            // The final key's absence means that the job is still live; done and cancelled exclude each other.
            val r = state.transact(
                mapOf(Keys.cancel(id) to 0L, Keys.final(id) to 0L),
                listOf(Put(Keys.cancel(id), mapOf("at" to wallClock().inWholeMilliseconds))),
            )
            when (r) {
                is StateResult.Ok -> return cbor(Status.OK, JobWire.status(id, Stage.CANCELLED))
                is StateResult.Refused -> {
                    if (r.status != 429) return null
                    if (begun.elapsedNow() > WRITE_PATIENCE) return tryLater(Status.TOO_MANY_REQUESTS)
                    Thread.sleep(ThreadLocalRandom.current().nextLong(40, 120))
                }
                else -> return when (val f = look(id)) {
                    is Found.Live, Found.Unreachable -> tryLater()
                    else -> answer(f, id)
                }
            }
        }
    }

    private fun error(status: Status, text: String): Response = cbor(status, mapOf("error" to text))

    companion object {
        private const val JOBS = "/api/jobs"
        private const val WITHDRAW = "/withdraw"
        private const val UNDECIDED = "undecided"
        private const val EPS = 1e-6
        private val SYNC_TIMEOUT = 1500.milliseconds
        private val RELAY_TIMEOUT = 1.seconds

        /** A few tries against the state service's rate; then the user is told at once when to come back. */
        private val WRITE_PATIENCE = 300.milliseconds
    }
}
