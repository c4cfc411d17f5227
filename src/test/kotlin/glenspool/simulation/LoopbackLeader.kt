package glenspool.simulation

import glenspool.controller.Leadership
import glenspool.controller.ServiceThreads
import glenspool.controller.Term
import glenspool.http.HttpClient
import glenspool.http.HttpListener
import glenspool.state.KeyValueStoreClient
import glenspool.state.StoreCache
import java.net.InetSocketAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** A node that is elected leader, with an [InMemoryStore] over loopback. */
class LoopbackLeader : AutoCloseable {
    val state = InMemoryStore()
    private val listener = HttpListener(InetSocketAddress("127.0.0.1", 0), "state", 8, state::serve)
    val storeAddress = "127.0.0.1:${listener.port}"
    val client = KeyValueStoreClient(storeAddress, HttpClient(2.seconds))
    val cache = StoreCache(client, 1000.0) { _, _ -> }
    private val elected = LinkedBlockingQueue<Term>()
    val leadership = Leadership("a", "boot", client, cache, { elected.add(it) }, {})
    private val threads =
        ServiceThreads({}).also { threads ->
            threads.start("syncs") { cache.serveSyncs() }
            threads.start("leadership") { leadership.run() }
        }

    fun awaitElection(): Term = checkNotNull(elected.poll(5, TimeUnit.SECONDS)) { "not elected" }

    /** Starts another service thread of the node. */
    fun startThread(name: String, body: () -> Unit) = threads.start(name, body)

    override fun close() {
        threads.close()
        listener.close()
    }
}
