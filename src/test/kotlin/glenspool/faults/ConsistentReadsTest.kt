package glenspool.faults

import glenspool.api.UserApi
import glenspool.config.SettingsReader
import glenspool.config.SettingsTest
import glenspool.controller.transactionOf
import glenspool.core.StoreChanges
import glenspool.core.StoreFinalState
import glenspool.core.model.JobSpec
import glenspool.http.HttpCaller
import glenspool.http.HttpListener
import glenspool.peer.PeerClient
import glenspool.rollout.UnmanagedFeatures
import glenspool.simulation.InMemoryStore
import glenspool.simulation.bigType
import glenspool.simulation.job
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreCache
import glenspool.wire.Cbor
import glenspool.wire.JobWire
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
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
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/**
 * Users ask at all nodes at once, repeat submissions and cancel, right when jobs are accepted, end or are cancelled,
 * while answers of the state service are lost: no node may answer anything older than what any user was told before.
 */
class ConsistentReadsTest {
    @TempDir
    lateinit var dir: File
    private val state = InMemoryStore()
    private val outside = HttpListener(InetSocketAddress("127.0.0.1", 0), "state", 24, state::serve)
    private val open = ArrayList<AutoCloseable>()
    private val nodes by lazy { List(3) { node() } }

    /** What users were told of a job, in the order in which it may change: 1 accepted, 2 done or cancelled. */
    private val told = ConcurrentHashMap<String, String>()
    private val wrong = ConcurrentLinkedQueue<String>()

    private fun node(): UserApi {
        val settings = SettingsReader().read(File(dir, "s.toml").also { it.writeText(SettingsTest.GOOD) })
        val client = KeyValueStoreClient("127.0.0.1:${outside.port}", HttpCaller(2.seconds))
        val cache = StoreCache(client, 2000.0) { _, _ -> }
        val duty =
            thread(isDaemon = true) {
                try {
                    cache.serveSyncs()
                } catch (e: InterruptedException) {
                    Thread.currentThread().interrupt()
                }
            }
        open.add(AutoCloseable { duty.interrupt() })
        return UserApi(settings, client, cache, PeerClient(emptyList()), {
            false
        }, UnmanagedFeatures { true }, { true }) { listOf(bigType) }
    }

    @AfterEach
    fun close() {
        open.forEach { it.close() }
        outside.close()
    }

    /** One request, whose answer must not be older than what was told before it began. */
    private fun ask(id: String, request: Request, node: Int) {
        val before = told[id]
        val r = nodes[node](request)
        if (r.status.code == 503 || r.status.code == 429) return
        if (r.status.code == 404) {
            if (before != null) wrong.add("$id was $before and is unknown at $node")
            return
        }
        val now =
            Cbor.decodeMap(r.body.stream.readAllBytes())["stage"].toString().let {
                if (it == "pending" ||
                    it == "running"
                ) {
                    "accepted"
                } else {
                    it
                }
            }
        if (before != null && before != "accepted" && now != before) wrong.add("$id was $before and is $now at $node")
        // Two answers that were under way together may come in any order; a final one stays.
        told.merge(id, now) { old, new ->
            if (old != "accepted" && new != "accepted" && old != new) wrong.add("$id is both $old and $new")
            if (old == "accepted") new else old
        }
    }

    private fun submission(s: JobSpec) =
        Request(Method.POST, "/api/jobs")
            .body(Body(ByteBuffer.wrap(Cbor.encode(JobWire.encode(s)))))

    private fun look(id: String) = Request(Method.GET, "/api/jobs/$id")

    private fun withdrawal(id: String) = Request(Method.POST, "/api/jobs/$id/withdraw")

    /** As the leader closes a job: done unless it was cancelled, else cancelled; never both. */
    private fun end(id: String) {
        synchronized(state) {
            val record = state.get(Keys.job(id)) ?: return
            val t =
                transactionOf(
                    state.get(Keys.LEAD)?.version ?: 0,
                    StoreChanges(
                        listOf(
                            StoreFinalState(
                                id, record.version,
                                state
                                    .get(Keys.cancel(id))
                                    ?.version,
                                1,
                            ),
                        ),
                    ),
                )
            state.transact(t.conditions, t.puts, t.removes)
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `no node answers anything older, whatever meets`(seed: Long) {
        val random = Random(seed)
        val count = AtomicInteger()
        val losing = seed % 2 == 0L
        state.loses = { losing && count.incrementAndGet() % 3 == 0 }
        state.transact(emptyMap(), listOf(Put(Keys.LEAD, mapOf("token" to 1L), state.newLease())), emptyList())
        val users = Executors.newFixedThreadPool(12)
        open.add(AutoCloseable { users.shutdownNow() })
        val ids = (1..40).map { "run-%06d".format(seed * 1000 + it) }
        for (id in ids) {
            val calls = ArrayList<Callable<Unit>>()
            repeat(3) { n -> calls.add(Callable { ask(id, submission(job(id, team = "a")), n) }) }
            repeat(6) { n -> calls.add(Callable { ask(id, look(id), n % 3) }) }
            users.invokeAll(calls.shuffled(random)).forEach { it.get() }
            val more = ArrayList<Callable<Unit>>()
            repeat(9) { n -> more.add(Callable { ask(id, look(id), n % 3) }) }
            if (random.nextInt(3) > 0) repeat(2) { n -> more.add(Callable { ask(id, withdrawal(id), n) }) }
            repeat(2) { n -> more.add(Callable { ask(id, submission(job(id, team = "a")), n) }) }
            if (random.nextInt(3) > 0) more.add(Callable { end(id) })
            users.invokeAll(more.shuffled(random)).forEach { it.get() }
            users.invokeAll((0..8).map { n -> Callable { ask(id, look(id), n % 3) } }).forEach { it.get() }
        }
        assertEquals(emptyList<String>(), wrong.toList())
        assertTrue(
            told.values.toSet().containsAll(listOf("accepted", "done", "aborted")),
            "${told.values.groupingBy {
                it
            }.eachCount()}",
        )
        // Each job was accepted, and by the records it is what users were told.
        for (id in ids) {
            val end = state.get(Keys.final(id))?.value?.get("end")
            val stored =
                if (end == "done") {
                    "done"
                } else if (end == "cancelled" || state.get(Keys.cancel(id)) != null) {
                    "aborted"
                } else {
                    "accepted"
                }
            if (told[id] != "accepted") assertEquals(stored, told[id], id)
        }
    }
}
