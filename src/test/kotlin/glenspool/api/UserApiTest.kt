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
import glenspool.simulation.ServedUserApi
import glenspool.simulation.bigType
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreCache
import glenspool.wire.Cbor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.seconds

/** The users' requests, one job at a time. */
class UserApiTest : ServedUserApi() {
    @Test
    fun `a job is taken once, and its retry gets its present state`() {
        assertEquals(201, submit(spec("run-1")).status)
        assertEquals(200 to "pending", submit(spec("run-1")).let { it.status to it.body["stage"] })
        end("run-1", "done")
        assertEquals(200 to "done", submit(spec("run-1")).let { it.status to it.body["stage"] })
        assertEquals(200 to "done", show("run-1").let { it.status to it.body["stage"] })
    }

    @Test
    fun `what never was is unknown, and what was stored by another node is known at once`() {
        assertEquals(404, show("run-9").status)
        assertEquals(404, withdraw("run-9").status)
        // A copy in memory would still say 404 here.
        state.transact(emptyMap(), listOf(Put(Keys.final("run-9"), mapOf("end" to "cancelled"))), emptyList())
        assertEquals("aborted", show("run-9").body["stage"])
        repeat(7) { assertEquals(201, submit(spec("run-1$it")).status) }
        repeat(7) { assertEquals("pending", show("run-1$it").body["stage"]) }
    }

    @Test
    fun `a cancelled job stays cancelled, and a done one can't be cancelled`() {
        submit(spec("run-1"))
        assertEquals("aborted", withdraw("run-1").body["stage"])
        assertEquals("aborted", withdraw("run-1").body["stage"])
        assertEquals("aborted", show("run-1").body["stage"])
        submit(spec("run-2"))
        end("run-2", "done")
        assertEquals("done", withdraw("run-2").body["stage"])
        assertEquals(null, state.entries[Keys.cancel("run-2")])
    }

    @Test
    fun `what can never run gets 422, but a known job is answered as known`() {
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
    fun `malformed and oversized bodies are refused for good`() {
        for (body in listOf(byteArrayOf(), byteArrayOf(1), Cbor.encode(listOf(1)), Cbor.encode(mapOf("uid" to "run-1")), ByteArray(70_000))) {
            assertEquals(400, (http.call("POST", addr, "/api/jobs", body, 10.seconds) as CallResult.Answer).status)
        }
        assertEquals(0, state.revision)
    }

    @Test
    fun `without the state service every request is answered at once with a time to come back`() {
        submit(spec("run-1"))
        state.down = true
        assertEquals(503, submit(spec("run-2")).status)
        assertEquals(503, show("run-1").status)
        assertEquals(503, withdraw("run-1").status)
        assertEquals(200, (http.get(addr, "/ready", 10.seconds) as CallResult.Answer).status)
        state.down = false
        assertEquals("pending", show("run-1").body["stage"])
        assertEquals(404, show("run-2").status)
    }

    @Test
    fun `a description that leaves no room for its tasks' places is refused at once`() {
        val long = spec("run-1").copy(types = List(800) { "some-type-$it" } + "big")
        assertEquals(400, submit(long).status)
        assertEquals(201, submit(spec("run-1").copy(types = List(20) { "some-type-$it" } + "big")).status)
    }

    @Test
    fun `a short throttling is ridden out, a long one is answered with a time to come back`() {
        state.throttled = 2
        assertEquals(201, submit(spec("run-1")).status)
        state.throttled = 1_000
        assertEquals(429, submit(spec("run-2")).status)
        assertEquals(null, state.entries[Keys.job("run-2")])
        state.throttled = 0
        assertEquals(404, show("run-2").status)
    }

    @Test
    fun `a node that has lost the state service alone passes requests to a peer`() {
        // The peer reaches the same state service, which this node alone does not.
        val reachable = HttpListener(InetSocketAddress("127.0.0.1", 0), "state-2", 8, state::serve)
        val peersClient = KeyValueStoreClient("127.0.0.1:${reachable.port}", http)
        val peersReplica = StoreCache(peersClient, 1000.0) { _, _ -> }
        val peersSyncs = syncing(peersReplica)
        val peersApi =
            UserApi(settings, peersClient, peersReplica, PeerClient(emptyList()), {
                false
            }, UnmanagedFeatures { true }, { true }) { types }
        val peer =
            HttpListener(
                InetSocketAddress("127.0.0.1", 0), "peer", 4,
                PeerServer({
                    PeerStatus("n1", false, null, true)
                }, { null }, peersApi::local),
            )
        members = listOf(Member("n1", "here", InetSocketAddress("127.0.0.1", peer.port)))
        outside.close()
        assertEquals(201, submit(spec("run-1")).status)
        assertEquals("pending", show("run-1").body["stage"])
        assertEquals("aborted", withdraw("run-1").body["stage"])
        assertEquals(404, show("run-2").status)
        peersSyncs.interrupt()
        peer.close()
        reachable.close()
    }

    @Test
    fun `a node that can ask nobody sends users elsewhere at once, and is not ready`() {
        assertEquals(201, submit(spec("run-1")).status)
        assertEquals(200, (http.get(addr, "/ready", 5.seconds) as CallResult.Answer).status)
        cutOff = true
        val asked = state.served
        assertEquals(503, show("run-1").status)
        assertEquals(503, submit(spec("run-2")).status)
        assertEquals(503, (http.get(addr, "/ready", 5.seconds) as CallResult.Answer).status)
        assertEquals(asked, state.served)
        cutOff = false
        assertEquals("pending", show("run-1").body["stage"])
    }

    @Test
    fun `a cancellation that other controllers have not heard of is neither confirmed nor denied`() {
        assertEquals(201, submit(spec("run-1")).status)
        confirmable = false
        assertEquals(503, withdraw("run-1").status)
        // Another node may have confirmed it by now: live would be an older answer.
        assertEquals(503, show("run-1").status)
        assertEquals(503, submit(spec("run-1")).status)
        confirmable = true
        assertEquals("aborted", withdraw("run-1").body["stage"])
        // Once its end is stored, its tasks are gone: there is nothing left to tell.
        confirmable = false
        end("run-1", "cancelled")
        assertEquals("aborted", show("run-1").body["stage"])
    }

    @Test
    fun `a job of 100,000 tasks is taken`() {
        assertEquals(201, submit(spec("run-1", tasks = 100_000)).status)
        assertEquals(400, submit(spec("run-2", tasks = 100_001)).status)
    }
}
