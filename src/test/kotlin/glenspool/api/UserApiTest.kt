package glenspool.api

import glenspool.config.Member
import glenspool.core.model.JobKind
import glenspool.core.model.Resources
import glenspool.http.CallResult
import glenspool.http.HttpListener
import glenspool.peer.PeerClient
import glenspool.peer.PeerServer
import glenspool.peer.PeerStatus
import glenspool.rollout.UnmanagedFeatures
import glenspool.simulation.UserApiTestBase
import glenspool.simulation.bigType
import glenspool.simulation.startSyncThread
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.StoreCache
import glenspool.wire.Cbor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.seconds

/** The users' requests, one job at a time. */
class UserApiTest : UserApiTestBase() {
    private fun ready() = http.get(addr, "/ready", 10.seconds) as CallResult.Response

    private fun submitRaw(body: ByteArray) =
        http.call("POST", addr, "/api/jobs", body, 10.seconds) as CallResult.Response

    @Test
    fun `a job is accepted once, and a retry is answered with its current state`() {
        assertEquals(201, submit(spec("run-1")).status)
        assertAnswer(200, "pending", submit(spec("run-1")))
        storeFinalState("run-1", "done")
        assertAnswer(200, "done", submit(spec("run-1")))
        assertAnswer(200, "done", show("run-1"))
    }

    @Test
    fun `a job that was never accepted gets 404, and one stored by another node is found immediately`() {
        assertEquals(404, show("run-9").status)
        assertEquals(404, withdraw("run-9").status)
        // A cache that was not brought up to date would still answer 404 here.
        state.put(Keys.final("run-9"), mapOf("end" to "cancelled"))
        assertEquals("aborted", show("run-9").stage)
        repeat(7) { assertEquals(201, submit(spec("run-1$it")).status) }
        repeat(7) { assertEquals("pending", show("run-1$it").stage) }
    }

    @Test
    fun `a cancelled job stays cancelled, and a done one can't be cancelled`() {
        submit(spec("run-1"))
        assertEquals("aborted", withdraw("run-1").stage)
        assertEquals("aborted", withdraw("run-1").stage)
        assertEquals("aborted", show("run-1").stage)
        submit(spec("run-2"))
        storeFinalState("run-2", "done")
        assertEquals("done", withdraw("run-2").stage)
        assertEquals(null, state.entries[Keys.cancel("run-2")])
    }

    @Test
    fun `a job that can never run gets 422, but a job that was accepted before gets 200`() {
        assertEquals(422, submit(spec("run-1", team = "nobody")).status)
        assertEquals(422, submit(spec("run-2", resourceRequest = Resources(2.0, 5.0, 8.0))).status)
        assertEquals(422, submit(spec("run-3", tasks = 40, kind = JobKind.GANG)).status)
        assertEquals(201, submit(spec("run-4", tasks = 40)).status)
        types = listOf(bigType.copy(capacity = Resources(1.0, 0.0, 1.0)))
        assertEquals(200, submit(spec("run-4", tasks = 40)).status)
        assertEquals(422, submit(spec("run-5")).status)
        types = null
        assertEquals(503, submit(spec("run-5")).status)
    }

    @Test
    fun `malformed and oversized bodies get 400 and store nothing`() {
        val incomplete = Cbor.encode(mapOf("uid" to "run-1"))
        for (body in listOf(byteArrayOf(), byteArrayOf(1), Cbor.encode(listOf(1)), incomplete, ByteArray(70_000))) {
            assertEquals(400, submitRaw(body).status)
        }
        assertEquals(0, state.revision)
    }

    @Test
    fun `without the key-value store every request gets 503, and the node stays ready`() {
        submit(spec("run-1"))
        state.isDown = true
        assertEquals(503, submit(spec("run-2")).status)
        assertEquals(503, show("run-1").status)
        assertEquals(503, withdraw("run-1").status)
        assertEquals(200, ready().status)
        state.isDown = false
        assertEquals("pending", show("run-1").stage)
        assertEquals(404, show("run-2").status)
    }

    @Test
    fun `a description that leaves no room for its tasks' placements gets 400`() {
        val longSpec = spec("run-1").copy(types = List(800) { "some-type-$it" } + "big")
        assertEquals(400, submit(longSpec).status)
        assertEquals(201, submit(spec("run-1").copy(types = List(20) { "some-type-$it" } + "big")).status)
    }

    @Test
    fun `a request is retried during a short rate limit, and gets 429 during a long one`() {
        state.transactionsToThrottle = 2
        assertEquals(201, submit(spec("run-1")).status)
        state.transactionsToThrottle = 1_000
        assertEquals(429, submit(spec("run-2")).status)
        assertEquals(null, state.entries[Keys.job("run-2")])
        state.transactionsToThrottle = 0
        assertEquals(404, show("run-2").status)
    }

    @Test
    fun `a node that alone cannot reach the key-value store relays requests to a peer`() {
        // The peer reaches the same key-value store, which only this node can't reach.
        HttpListener(InetSocketAddress("127.0.0.1", 0), "state-2", 8, state::serve).use { reachable ->
            val peersClient = KeyValueStoreClient("127.0.0.1:${reachable.port}", http)
            val peersCache = StoreCache(peersClient, 1000.0) { _, _ -> }
            val peersSyncThread = startSyncThread(peersCache)
            servePeer(peerApi(peersClient, peersCache)).use { peer ->
                members = listOf(Member("n1", "here", InetSocketAddress("127.0.0.1", peer.port)))
                storeListener.close()
                assertEquals(201, submit(spec("run-1")).status)
                assertEquals("pending", show("run-1").stage)
                assertEquals("aborted", withdraw("run-1").stage)
                assertEquals(404, show("run-2").status)
                peersSyncThread.interrupt()
            }
        }
    }

    private fun peerApi(client: KeyValueStoreClient, cache: StoreCache): UserApi {
        val noPeers = PeerClient(emptyList())
        val features = UnmanagedFeatures { true }
        return UserApi(settings, client, cache, noPeers, { false }, features, { true }) { types }
    }

    private fun servePeer(api: UserApi): HttpListener {
        val status = PeerStatus("n1", leading = false, leader = null, isCacheFresh = true)
        val server = PeerServer({ status }, { null }, api::answerRelayed)
        return HttpListener(InetSocketAddress("127.0.0.1", 0), "peer", 4, server)
    }

    @Test
    fun `an isolated node answers 503 without a request to the store, and is not ready`() {
        assertEquals(201, submit(spec("run-1")).status)
        assertEquals(200, ready().status)
        isIsolated = true
        val servedBefore = state.servedRequests
        assertEquals(503, show("run-1").status)
        assertEquals(503, submit(spec("run-2")).status)
        assertEquals(503, ready().status)
        assertEquals(servedBefore, state.servedRequests)
        isIsolated = false
        assertEquals("pending", show("run-1").stage)
    }

    @Test
    fun `a cancellation that other controllers have not received yet is neither confirmed nor denied`() {
        assertEquals(201, submit(spec("run-1")).status)
        mayConfirmCancellation = false
        assertEquals(503, withdraw("run-1").status)
        // Another node may have confirmed the cancellation by now, so that a live state would be an outdated answer.
        assertEquals(503, show("run-1").status)
        assertEquals(503, submit(spec("run-1")).status)
        mayConfirmCancellation = true
        assertEquals("aborted", withdraw("run-1").stage)
        // Once the job's final state is stored, its tasks have stopped, so no controller needs the cancellation any
        // more.
        mayConfirmCancellation = false
        storeFinalState("run-1", "cancelled")
        assertEquals("aborted", show("run-1").stage)
    }

    @Test
    fun `a job of 100,000 tasks is accepted, and a larger one gets 400`() {
        assertEquals(201, submit(spec("run-1", tasks = 100_000)).status)
        assertEquals(400, submit(spec("run-2", tasks = 100_001)).status)
    }
}
