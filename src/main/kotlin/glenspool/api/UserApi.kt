package glenspool.api

import glenspool.config.Settings
import glenspool.controller.wallClock
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.MachineType
import glenspool.http.bounded
import glenspool.http.cbor
import glenspool.http.tryLater
import glenspool.logging.loggerOf
import glenspool.peer.PeerClient
import glenspool.peer.PeerPaths
import glenspool.peer.RelayAnswer
import glenspool.peer.RelayRequest
import glenspool.rollout.FeaturePermits
import glenspool.rollout.FeatureRegistry
import glenspool.state.JobRecordReader
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreCache
import glenspool.state.StoreResult
import glenspool.state.conditions
import glenspool.wire.Cbor
import glenspool.wire.Fields
import glenspool.wire.FinalWire
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
    private val store: KeyValueStoreClient,
    private val cache: StoreCache,
    private val peers: PeerClient,
    private val isolated: () -> Boolean,
    private val features: FeaturePermits,
    /**
     * Whether a user may be told of a stored cancellation by now: the other controllers have heard of it, or can't
     * hear.
     */
    private val confirm: (String) -> Boolean,
    private val types: () -> List<MachineType>?,
) : HttpHandler {
    private val teams = settings.teams.associateBy { it.name }

    private val limits = settings.storeLimits.safe
    private val stored = JobRecordReader(cache)
    private val finalStates = FinalStates(store::get)
    private val dependencyResolver = DependencyResolver(cache, stored, finalStates)

    override fun invoke(request: Request): Response {
        val path = request.uri.path
        if (path == "/ready" && request.method == Method.GET) return ready()
        val body = request.body.bounded() ?: return error(Status.BAD_REQUEST, "the body is longer than 64 KiB")
        // Neither the state service nor a peer can be asked: the user is sent elsewhere at once, by a new connection.
        if (isolated()) return tryLater().header("Connection", "close")
        // Out of the state service's reach, a peer answers sooner than another attempt would time out.
        if (store.failing) relayed(request.method, path, body)?.let { return it }
        return serve(request.method, path, body) ?: relayed(request.method, path, body) ?: tryLater()
    }

    private fun relayed(method: Method, path: String, body: ByteArray): Response? {
        val by =
            if (method == Method.POST &&
                path == JOBS &&
                hasDependencies(body)
            ) {
                PeerPaths.RELAY_CHAINED
            } else {
                PeerPaths.RELAY
            }
        val passed = peers.relay(RelayRequest(method.name, path, body), RELAY_TIMEOUT, by) ?: return null
        val r =
            Response(Status(passed.status, null))
                .header("Content-Type", "application/cbor")
                .body(passed.body.inputStream())
        return if (passed.retryAfter != null) r.header("Retry-After", passed.retryAfter) else r
    }

    /** Whether the submission waits for others. What can't be read says so wherever it is answered. */
    private fun hasDependencies(body: ByteArray): Boolean =
        try {
            JobWire.hasDependencies(Cbor.decodeMap(body))
        } catch (e: MalformedMessage) {
            log.debug("a submission is not readable: {}", e.toString())
            false
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
        if (path ==
            JOBS
        ) {
            return if (method == Method.POST) submit(body) else error(Status.METHOD_NOT_ALLOWED, "use POST")
        }
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
        /** [awaits]: which of the jobs that it needs are not done yet. */
        data class Live(val record: JobRecord, val awaits: List<String>) : Found

        data class Ended(val body: Fields) : Found

        data object None : Found

        data object Unreachable : Found

        /**
         * Its cancellation is stored, but nobody may be told yet. Nor may it be called live, since another node may
         * have told.
         */
        data object Unconfirmed : Found
    }

    /** The job's state at some moment after this call began. */
    private fun look(id: String): Found {
        finalStates.known(id)?.let { return Found.Ended(FinalWire.answer(id, it)) }
        if (!cache.sync(SYNC_TIMEOUT)) return Found.Unreachable
        // Read one by one, a cancelled job that is just being closed could look live and not cancelled.
        val (record, cancelled) =
            cache.atomically {
                cache.get(Keys.job(id))?.let { stored.read(id, it.value) } to
                    (cache.get(Keys.cancel(id)) != null)
            }
        if (record != null) return if (cancelled) confirmed(id) else live(id, record)
        // Not live at a moment after the request came. A record moves from live to final in one transaction and
        // never back, so what isn't final now was not accepted at that moment.
        return when (val e = finalStates.read(id)) {
            is FinalStates.Ended -> Found.Ended(FinalWire.answer(id, e.value))
            FinalStates.None -> Found.None
            FinalStates.Unreachable -> Found.Unreachable
        }
    }

    private fun confirmed(id: String): Found = if (confirm(id)) Found.Ended(JobWire.status(id, Stage.CANCELLED)) else Found.Unconfirmed

    /**
     * What waits for a job that was cancelled counts as cancelled from that moment, whether anybody has stored that yet
     * or not.
     */
    private fun live(id: String, record: JobRecord): Found {
        if (record.dependencies.isEmpty()) return Found.Live(record, emptyList())
        return when (val v = dependencyResolver.judge(record.dependencies)) {
            is DependencyResolver.Waits -> Found.Live(record, v.open)
            is DependencyResolver.Aborted -> Found.Ended(JobWire.status(id, Stage.CANCELLED, abortedBy = v.by))
            DependencyResolver.Undetermined -> Found.Unreachable
        }
    }

    private fun answer(f: Found, id: String): Response? =
        when (f) {
            is Found.Live -> cbor(Status.OK, liveBody(f))
            is Found.Ended -> cbor(Status.OK, f.body)
            Found.None -> error(Status.NOT_FOUND, "no such job: $id")
            Found.Unreachable -> null
            Found.Unconfirmed -> tryLater()
        }

    private fun liveBody(f: Found.Live): Fields {
        val r = f.record
        val running = r.placements.size + r.placementParts.values.sumOf { it.size }
        return JobWire.status(
            r.spec.id,
            if (running ==
                0
            ) {
                Stage.QUEUED
            } else {
                Stage.RUNNING
            },
            r.done.cardinality(), running, f.awaits,
        )
    }

    /** Why a submission is refused for good. */
    private class Fault(val status: Status, val text: String)

    private fun submit(body: ByteArray): Response? {
        val (spec, dependencies) =
            try {
                Cbor.decodeMap(body).let { JobWire.decode(it) to JobWire.decodeDependencies(it) }
            } catch (e: MalformedMessage) {
                return error(Status.BAD_REQUEST, e.message ?: "malformed")
            }
        val record = JobRecord(spec, wallClock(), 0, BitSet(), emptyList(), dependencies)
        val fault = tooLong(record) ?: never(spec)
        if (fault != null) return refuse(spec.id, fault)
        if (dependencies.isEmpty()) return store(record, null)
        // A job that waits is stored in a form that not every controller may read yet.
        if (features.permit(FeatureRegistry.SEALED_RECORDS) == null) return refuse(spec.id, UNDECIDED)
        if (!cache.sync(SYNC_TIMEOUT)) return null
        return when (val v = dependencyResolver.validate(spec.id, dependencies)) {
            is DependencyResolver.ValidDependencies -> store(record, v.abortedBy)
            // It was found so at a moment after the request came; a job that is known already is answered as known all
            // the same.
            is DependencyResolver.InvalidDependencies -> refuse(spec.id, Fault(Status.UNPROCESSABLE_ENTITY, v.why))
            DependencyResolver.Undecided -> null
        }
    }

    /** A job that is known already is answered as known, whatever the checks say today. */
    private fun refuse(id: String, fault: Fault): Response? =
        when (val f = look(id)) {
            Found.None -> if (fault === UNDECIDED) tryLater() else error(fault.status, fault.text)
            else -> answer(f, id)
        }

    /**
     * Accepts the job. [abortedBy]: a cancelled job that it names; it is accepted all the same, and its user told how
     * it stands. A record that is too long for one value has its description stored in pieces before: the record itself
     * counts, and is conditioned on the pieces that it was made with.
     */
    private fun store(record: JobRecord, abortedBy: String?): Response? {
        val patience = Patience()
        val limit =
            if (record.dependencies.isEmpty() &&
                !features.isInUse(FeatureRegistry.SEALED_RECORDS)
            ) {
                settings.storeLimits.now.valueBytes
            } else {
                limits.valueBytes
            }
        var inParts = Cbor.jsonBytes(RecordWire.encode(record)) > limit
        while (true) {
            when (val attempt = tryStore(record, abortedBy, inParts, patience)) {
                is Attempt.Answered -> return attempt.response
                Attempt.TooLarge -> inParts = true
                Attempt.Again -> Unit
            }
        }
    }

    /** How one attempt to store a submission ended. */
    private sealed interface Attempt {
        /** Null: this node can't reach the state service. */
        data class Answered(val response: Response?) : Attempt

        /** The limit for values was lowered: shorter values are the way out. */
        data object TooLarge : Attempt

        data object Again : Attempt
    }

    private fun tryStore(record: JobRecord, abortedBy: String?, inParts: Boolean, patience: Patience): Attempt {
        val id = record.spec.id
        // Both keys must be absent: a retry, at any node and however late, then changes nothing.
        val conditions = linkedMapOf(Keys.job(id) to 0L, Keys.final(id) to 0L)
        if (inParts || record.dependencies.isNotEmpty()) {
            val permit =
                features.permit(FeatureRegistry.SEALED_RECORDS) ?: return Attempt.Answered(refuse(id, UNDECIDED))
            conditions.putAll(permit.conditions())
        }
        var whole = record
        if (inParts) {
            val stored = storeDescriptionParts(record, patience) ?: return Attempt.Answered(null)
            if (stored.response != null) return Attempt.Answered(stored.response)
            conditions.putAll(stored.versions)
            whole = record.copy(descriptionParts = stored.versions.size)
        }
        return when (val result = store.transact(conditions, listOf(Put(Keys.job(id), RecordWire.encode(whole))))) {
            is StoreResult.Ok -> Attempt.Answered(accepted(id, abortedBy))
            is StoreResult.Conflict -> Attempt.Answered(conflicting(id, result.keys))
            is StoreResult.Refused -> refused(result.status, inParts, patience)
            // It may have been stored: only a read tells.
            is StoreResult.Unknown, StoreResult.Missing -> Attempt.Answered(perhapsStored(id))
        }
    }

    private fun accepted(id: String, abortedBy: String?): Response = cbor(Status.CREATED, JobWire.status(id, if (abortedBy == null) Stage.QUEUED else Stage.CANCELLED, abortedBy = abortedBy))

    private fun conflicting(id: String, keys: List<String>): Response? =
        when {
            keys.any { it.startsWith(Keys.DESCRIPTION_PART) } -> tryLater()
            // The level was left, or this node has not heard yet that it is active.
            Keys.LEVEL in keys -> refuse(id, UNDECIDED)
            else -> answer(look(id), id)
        }

    private fun refused(status: Int, inParts: Boolean, patience: Patience): Attempt =
        when (status) {
            // Pieces are made once: if they don't fit either, nothing will.
            Status.BAD_REQUEST.code ->
                if (inParts) {
                    Attempt
                        .Answered(error(Status.BAD_REQUEST, "the job's description is too long"))
                } else {
                    Attempt.TooLarge
                }
            Status.TOO_MANY_REQUESTS.code -> patience.wait()?.let { Attempt.Answered(it) } ?: Attempt.Again
            else -> Attempt.Answered(null)
        }

    private fun perhapsStored(id: String): Response? =
        when (val found = look(id)) {
            is Found.Live, is Found.Ended -> answer(found, id)
            Found.None, Found.Unreachable, Found.Unconfirmed -> tryLater()
        }

    private class StoredParts(val versions: Map<String, Long>, val response: Response?)

    /** Null: this node can't reach the state service. */
    private fun storeDescriptionParts(record: JobRecord, patience: Patience): StoredParts? {
        val id = record.spec.id
        val versions = LinkedHashMap<String, Long>()
        for (puts in JobRecordReader.descriptionParts(record, limits.valueBytes).chunked(limits.txnOps)) {
            while (true) {
                // A late copy of this must not change the pieces of a job that was accepted since.
                val permit =
                    features.permit(FeatureRegistry.SEALED_RECORDS) ?: return StoredParts(versions, refuse(id, UNDECIDED))
                val r = store.transact(permit.conditions() + mapOf(Keys.job(id) to 0L, Keys.final(id) to 0L), puts)
                if (r is StoreResult.Ok) {
                    puts.forEach { versions[it.key] = r.value }
                    break
                }
                if (r is StoreResult.Conflict) {
                    return StoredParts(
                        versions,
                        if (Keys.LEVEL in
                            r.keys
                        ) {
                            refuse(id, UNDECIDED)
                        } else {
                            answer(look(id), id)
                        },
                    )
                }
                if (r !is StoreResult.Refused || r.status != 429) return null
                patience.wait()?.let { return StoredParts(versions, it) }
            }
        }
        return StoredParts(versions, null)
    }

    /** A few tries against the state service's rate; then the user is told at once when to come back. */
    private class Patience {
        private val begun = TimeSource.Monotonic.markNow()

        fun wait(): Response? {
            if (begun.elapsedNow() > WRITE_PATIENCE) return tryLater(Status.TOO_MANY_REQUESTS)
            Thread.sleep(ThreadLocalRandom.current().nextLong(40, 120))
            return null
        }
    }

    /**
     * The pieces of a description are conditions of the transaction that accepts the job, and it takes only so many.
     */
    private fun tooLong(r: JobRecord): Fault? {
        if (r.spec.recordBytes >
            settings.storeLimits.now.valueBytes / 2
        ) {
            return Fault(Status.BAD_REQUEST, "the job's description is too long")
        }
        if (r.dependencies.size * BYTES_PER_DEPENDENCY <= limits.valueBytes / 2) return null
        val guards =
            features
                .permit(FeatureRegistry.SEALED_RECORDS)
                ?.conditions()
                .orEmpty()
                .size
        val most = limits.txnOps * CONDITIONS_PER_OP - 2 - guards
        return if (RecordWire.encodeDescriptionParts(r, limits.valueBytes).size >
            most
        ) {
            Fault(Status.BAD_REQUEST, "awaits: more jobs are named than can be kept")
        } else {
            null
        }
    }

    /** Why the job can never run; null if it can. */
    private fun never(spec: JobSpec): Fault? {
        fun fault(text: String) = Fault(Status.UNPROCESSABLE_ENTITY, text)
        val team = teams[spec.team] ?: return fault("unknown team ${spec.team}")
        val n = if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        if (team.cpusMax != null &&
            spec.resourceRequest.cpus * n > team.cpusMax + EPS
        ) {
            return fault("more CPUs than the team's limit")
        }
        if (team.gpusMax != null &&
            spec.resourceRequest.gpus * n > team.gpusMax + EPS
        ) {
            return fault("more GPUs than the team's limit")
        }
        val known = types() ?: return UNDECIDED
        val fits =
            known.any { t ->
                (spec.types == null || t.name in spec.types) &&
                    spec.resourceRequest.fits(t.capacity) &&
                    (spec.zone == null || spec.zone in t.zones || spec.zone in settings.zones)
            }
        return if (fits) null else fault("no allowed machine type is large enough")
    }

    private fun withdraw(id: String): Response? {
        if (!validJobId(id)) return error(Status.NOT_FOUND, "no such job")
        when (val f = look(id)) {
            is Found.Live -> Unit
            else -> return answer(f, id)
        }
        val patience = Patience()
        while (true) {
            // The final key's absence means that the job is still live; done and cancelled exclude each other.
            val r =
                store.transact(
                    mapOf(Keys.cancel(id) to 0L, Keys.final(id) to 0L),
                    listOf(Put(Keys.cancel(id), mapOf("at" to wallClock().inWholeMilliseconds))),
                )
            when (r) {
                // Read back, so that this node knows all places that were stored before it: from now on none is.
                is StoreResult.Ok -> return answer(look(id), id) ?: tryLater()
                is StoreResult.Refused -> {
                    if (r.status != 429) return null
                    patience.wait()?.let { return it }
                }
                else -> return when (val f = look(id)) {
                    is Found.Live, Found.Unreachable, Found.Unconfirmed -> tryLater()
                    else -> answer(f, id)
                }
            }
        }
    }

    private fun error(status: Status, text: String): Response = cbor(status, mapOf("error" to text))

    companion object {
        private val log = loggerOf(UserApi::class.java)
        private const val JOBS = "/api/jobs"
        private const val WITHDRAW = "/withdraw"
        private val UNDECIDED = Fault(Status.SERVICE_UNAVAILABLE, "undecided")
        private const val EPS = 1e-6
        private val SYNC_TIMEOUT = 1500.milliseconds
        private val RELAY_TIMEOUT = 1.seconds

        private val WRITE_PATIENCE = 300.milliseconds

        /** An id as it is usual, with its marks. */
        private const val BYTES_PER_DEPENDENCY = 13

        /** So many conditions go into a transaction for each change that its limit allows. */
        private const val CONDITIONS_PER_OP = 4
    }
}
