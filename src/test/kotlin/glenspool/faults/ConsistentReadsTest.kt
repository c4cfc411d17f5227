package glenspool.faults

import glenspool.api.UserApi
import glenspool.config.SettingsReader
import glenspool.config.SettingsTest
import glenspool.controller.transactionOf
import glenspool.core.StoreChanges
import glenspool.core.StoreFinalState
import glenspool.core.model.JobSpec
import glenspool.http.HttpClient
import glenspool.http.HttpListener
import glenspool.peer.PeerClient
import glenspool.rollout.UnmanagedFeatures
import glenspool.simulation.InMemoryStore
import glenspool.simulation.bigType
import glenspool.simulation.job
import glenspool.simulation.startSyncThread
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreCache
import glenspool.wire.Cbor
import glenspool.wire.JobWire
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.io.File
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.util.Random
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

/**
 * Users concurrently query all nodes, repeat submissions and cancel jobs, at the moments when jobs are accepted, end or
 * are cancelled, while responses of the store are lost. No node may return a state of a job that is older than one that
 * any user has already received.
 */
class ConsistentReadsTest {
    @TempDir
    lateinit var dir: File
    private val state = InMemoryStore()
    private val storeListener = HttpListener(InetSocketAddress("127.0.0.1", 0), "state", 24, state::serve)
    private val resources = ArrayList<AutoCloseable>()
    private val nodes by lazy { List(NODES) { node() } }
    private val users by lazy {
        Executors.newFixedThreadPool(12).also { resources.add(AutoCloseable(it::shutdownNow)) }
    }

    /** The newest state of each job that users received: first accepted, then done or aborted. */
    private val newestStates = ConcurrentHashMap<String, String>()
    private val faults = ConcurrentLinkedQueue<String>()

    private fun node(): UserApi {
        val settings = SettingsReader().read(File(dir, "s.toml").also { it.writeText(SettingsTest.VALID_SETTINGS) })
        val client = KeyValueStoreClient("127.0.0.1:${storeListener.port}", HttpClient(2.seconds))
        val cache = StoreCache(client, 2000.0) { _, _ -> }
        val syncThread = startSyncThread(cache)
        resources.add(AutoCloseable(syncThread::interrupt))
        val peers = PeerClient(emptyList())
        val features = UnmanagedFeatures { true }
        return UserApi(settings, client, cache, peers, { false }, features, { true }) { listOf(bigType) }
    }

    @AfterEach
    fun close() {
        resources.forEach { it.close() }
        storeListener.close()
    }

    /**
     * Sends a request. The state in its response must not be older than one that any user had received before the
     * request was sent.
     */
    private fun query(id: String, request: Request, node: Int) {
        val previous = newestStates[id]
        val response = nodes[node](request)
        if (response.status.code == 503 || response.status.code == 429) return
        if (response.status.code == 404) {
            if (previous != null) faults.add("$id was $previous and is unknown at $node")
            return
        }
        val answer = answer(response)
        if (previous != null && previous != ACCEPTED && answer != previous) {
            faults.add("$id was $previous and is $answer at $node")
        }
        newestStates.merge(id, answer) { old, new -> newerOf(id, old, new) }
    }

    private fun answer(response: Response): String {
        val stage = Cbor.decodeMap(response.body.stream.readAllBytes())["stage"].toString()
        return if (stage == "pending" || stage == "running") ACCEPTED else stage
    }

    /**
     * Returns the newer of two states of a job. Responses to concurrent requests may arrive in any order, so a final
     * state takes precedence.
     */
    private fun newerOf(id: String, old: String, new: String): String {
        if (old != ACCEPTED && new != ACCEPTED && old != new) faults.add("$id is both $old and $new")
        return if (old == ACCEPTED) new else old
    }

    private fun submission(spec: JobSpec): Request {
        val body = Body(ByteBuffer.wrap(Cbor.encode(JobWire.encode(spec))))
        return Request(Method.POST, "/api/jobs").body(body)
    }

    private fun submit(id: String, node: Int) = Callable { query(id, submission(job(id, team = "a")), node) }

    private fun show(id: String, node: Int) = Callable { query(id, Request(Method.GET, "/api/jobs/$id"), node) }

    private fun cancel(id: String, node: Int) =
        Callable { query(id, Request(Method.POST, "/api/jobs/$id/withdraw"), node) }

    /** Stores the final state of a job as the leader does: either cancelled, if it was cancelled, or done. */
    private fun storeFinalState(id: String) {
        synchronized(state) {
            val record = state.get(Keys.job(id)) ?: return
            val cancellation = state.get(Keys.cancel(id))
            val finalState = StoreFinalState(id, record.version, cancellation?.version, 1)
            val leaderVersion = state.get(Keys.LEADERSHIP)?.version ?: 0
            val transaction = transactionOf(leaderVersion, StoreChanges(listOf(finalState)))
            state.transact(transaction.conditions, transaction.puts, transaction.removes)
        }
    }

    private fun runAll(calls: List<Callable<Unit>>) = users.invokeAll(calls).forEach { it.get() }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `no node returns an older state than a user has already received`(seed: Long) {
        val random = Random(seed)
        loseResponses(isEnabled = seed % 2 == 0L)
        state.transact(emptyMap(), listOf(Put(Keys.LEADERSHIP, mapOf("token" to 1L), state.newLease())), emptyList())
        val ids = (1..40).map { "run-%06d".format(seed * 1000 + it) }

        ids.forEach { runJob(it, random) }

        assertEquals(emptyList<String>(), faults.toList())
        val answers = newestStates.values.groupingBy { it }.eachCount()
        assertTrue(answers.keys.containsAll(listOf(ACCEPTED, "done", "aborted")), "$answers")
        // Each job was accepted, and the final state that users received is the one in the records.
        for (id in ids) if (newestStates[id] != ACCEPTED) assertEquals(storedState(id), newestStates[id], id)
    }

    /** If [isEnabled], every third response of the store to a transaction is lost. */
    private fun loseResponses(isEnabled: Boolean) {
        val transactions = AtomicInteger()
        state.losesResponse = { isEnabled && transactions.incrementAndGet() % 3 == 0 }
    }

    private fun runJob(id: String, random: Random) {
        val submissions = List(NODES) { node -> submit(id, node) }
        val queries = List(6) { show(id, it % NODES) }
        runAll((submissions + queries).shuffled(random))

        val calls = ArrayList<Callable<Unit>>()
        repeat(9) { calls.add(show(id, it % NODES)) }
        if (random.nextInt(3) > 0) repeat(2) { node -> calls.add(cancel(id, node)) }
        repeat(2) { node -> calls.add(submit(id, node)) }
        if (random.nextInt(3) > 0) calls.add(Callable { storeFinalState(id) })
        runAll(calls.shuffled(random))

        runAll(List(9) { show(id, it % NODES) })
    }

    private fun storedState(id: String): String {
        val end = state.get(Keys.final(id))?.value?.get("end")
        return when {
            end == "done" -> "done"
            end == "cancelled" || state.get(Keys.cancel(id)) != null -> "aborted"
            else -> ACCEPTED
        }
    }

    private companion object {
        const val NODES = 3
        const val ACCEPTED = "accepted"
    }
}
