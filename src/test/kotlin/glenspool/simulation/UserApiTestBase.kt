package glenspool.simulation

import glenspool.api.UserApi
import glenspool.config.Member
import glenspool.config.SettingsReader
import glenspool.config.SettingsTest
import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.MachineType
import glenspool.core.model.Resources
import glenspool.http.CallResult
import glenspool.http.HttpClient
import glenspool.http.HttpListener
import glenspool.peer.PeerClient
import glenspool.rollout.FeaturePermits
import glenspool.rollout.UnmanagedFeatures
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreCache
import glenspool.wire.JobWire
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.io.TempDir
import java.io.File
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.seconds

/** Base class of tests that send user requests over loopback sockets to a node with an [InMemoryStore]. */
abstract class UserApiTestBase(private val settingsText: String = SettingsTest.VALID_SETTINGS) {
    @TempDir
    lateinit var dir: File
    protected val state = InMemoryStore()
    protected val storeListener = HttpListener(InetSocketAddress("127.0.0.1", 0), "state", 8, state::serve)
    protected val http = HttpClient(2.seconds)
    protected val client = KeyValueStoreClient("127.0.0.1:${storeListener.port}", http)
    private val cache = StoreCache(client, 1000.0) { _, _ -> }
    private val syncThread = startSyncThread(cache)

    /** The machine types that the node knows, or null if it has read none yet. */
    protected var types: List<MachineType>? = listOf(bigType)
    protected val settings by lazy {
        val file = File(dir, "s.toml").also { it.writeText(settingsText) }
        SettingsReader().read(file)
    }
    protected var members = emptyList<Member>()
    protected var allMembersReadSplitRecords = true
    protected var features: FeaturePermits = UnmanagedFeatures { allMembersReadSplitRecords }

    /** Whether the node behaves as if it had lost the key-value store and every other node. */
    protected var isIsolated = false

    /** Whether the node may confirm each stored cancellation to its user. */
    protected var mayConfirmCancellation = true
    private val api by lazy {
        val users =
            UserApi(settings, client, cache, PeerClient(members), {
                isIsolated
            }, features, { mayConfirmCancellation }) { types }
        HttpListener(InetSocketAddress("127.0.0.1", 0), "api", 8, users)
    }
    protected val addr get() = "127.0.0.1:${api.port}"

    @AfterEach
    fun close() {
        syncThread.interrupt()
        api.close()
        storeListener.close()
    }

    protected fun spec(
        id: String,
        tasks: Int = 1,
        resourceRequest: Resources = Resources(2.0, 1.0, 8.0),
        kind: JobKind = JobKind.ARRAY,
        team: String = "a",
    ) = job(id, kind, tasks, resourceRequest, team)

    /** Submits a job. [awaits] is the value of the field that lists the dependencies, and is sent unchanged. */
    protected fun submit(spec: JobSpec, awaits: Any? = null): CallResult.Response {
        val dependencies = if (awaits == null) emptyMap() else mapOf("awaits" to awaits)
        return http.post(addr, "/api/jobs", JobWire.encode(spec) + dependencies, 20.seconds) as CallResult.Response
    }

    protected fun show(id: String) = http.get(addr, "/api/jobs/$id", 20.seconds) as CallResult.Response

    protected fun withdraw(id: String): CallResult.Response {
        val path = "/api/jobs/$id/withdraw"
        return http.post(addr, path, emptyMap(), 10.seconds) as CallResult.Response
    }

    /** Stores the final state of a job, as the leader does. */
    protected fun storeFinalState(id: String, word: String) {
        val finalState = Put(Keys.final(id), mapOf("end" to word, "tasks" to 1L))
        state.transact(emptyMap(), listOf(finalState), listOf(Keys.job(id), Keys.cancel(id)))
    }
}
