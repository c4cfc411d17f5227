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
 * Users query all nodes at once, repeat submissions and cancel, just when jobs are accepted, end or are cancelled,
 * while answers of the store are lost. No node may answer anything older than what any user has received before.
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

    /** The newest answer that users received about a job: accepted, and then done or aborted. */
    private val lastAnswers = ConcurrentHashMap<String, String>()
    private val faults = ConcurrentLinkedQueue<String>()

    private fun node(): UserApi {
        val settings = SettingsReader().read(File(dir, "s.toml").also { it.writeText(SettingsTest.VALID_SETTINGS) })
        val client = KeyValueStoreClient("127.0.0.1:${storeListener.port}", HttpClient(2.seconds))
        val cache = StoreCache(client, 2000.0) { _, _ -> }
        val syncs = startSyncThread(cache)
        resources.add(AutoCloseable(syncs::interrupt))
        val peers = PeerClient(emptyList())
        val features = UnmanagedFeatures { true }
        return UserApi(settings, client, cache, peers, { false }, features, { true }) { listOf(bigType) }
    }

    @AfterEach
    fun close() {
        resources.forEach { it.close() }
        storeListener.close()
    }

    /** Sends a request, whose answer must not be older than what any user had received before it began. */
    private fun query(id: String, request: Request, node: Int) {
        val previous = lastAnswers[id]
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
        lastAnswers.merge(id, answer) { old, new -> newerOf(id, old, new) }
    }

    private fun answer(response: Response): String {
        val stage = Cbor.decodeMap(response.body.stream.readAllBytes())["stage"].toString()
        return if (stage == "pending" || stage == "running") ACCEPTED else stage
    }

    /** Two answers to requests under way at the same time may come in any order; a final one stays. */
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

    /** Closes a job as the leader does: done unless it was cancelled, else cancelled, never both. */
    private fun end(id: String) {
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
        loseAnswers(isLosing = seed % 2 == 0L)
        state.transact(emptyMap(), listOf(Put(Keys.LEADERSHIP, mapOf("token" to 1L), state.newLease())), emptyList())
        val ids = (1..40).map { "run-%06d".format(seed * 1000 + it) }

        ids.forEach { play(it, random) }

        assertEquals(emptyList<String>(), faults.toList())
        val answers = lastAnswers.values.groupingBy { it }.eachCount()
        assertTrue(answers.keys.containsAll(listOf(ACCEPTED, "done", "aborted")), "$answers")
        // Each job was accepted, and its end according to the records is what users received.
        for (id in ids) if (lastAnswers[id] != ACCEPTED) assertEquals(storedAnswer(id), lastAnswers[id], id)
    }

    /** If [isLosing], every third answer of the store to a transaction is lost. */
    private fun loseAnswers(isLosing: Boolean) {
        val transactions = AtomicInteger()
        state.losesResponse = { isLosing && transactions.incrementAndGet() % 3 == 0 }
    }

    private fun play(id: String, random: Random) {
        val submissions = List(NODES) { node -> submit(id, node) }
        val queries = List(6) { show(id, it % NODES) }
        runAll((submissions + queries).shuffled(random))

        val calls = ArrayList<Callable<Unit>>()
        repeat(9) { calls.add(show(id, it % NODES)) }
        if (random.nextInt(3) > 0) repeat(2) { node -> calls.add(cancel(id, node)) }
        repeat(2) { node -> calls.add(submit(id, node)) }
        if (random.nextInt(3) > 0) calls.add(Callable { end(id) })
        runAll(calls.shuffled(random))

        runAll(List(9) { show(id, it % NODES) })
    }

    private fun storedAnswer(id: String): String {
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
