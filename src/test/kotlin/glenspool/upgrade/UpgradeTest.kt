package glenspool.upgrade

import glenspool.config.Member
import glenspool.controller.transactionOf
import glenspool.core.StoreChanges
import glenspool.core.UpdateJobRecord
import glenspool.core.model.FinalState
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.Priority
import glenspool.core.model.StoredPlacement
import glenspool.http.HttpListener
import glenspool.peer.PeerClient
import glenspool.peer.PeerPaths
import glenspool.peer.PeerServer
import glenspool.peer.PeerStatus
import glenspool.peer.PeerWire
import glenspool.peer.RelayAnswer
import glenspool.peer.RelayRequest
import glenspool.simulation.InMemoryStore
import glenspool.simulation.OldVersion
import glenspool.simulation.job
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.wire.Cbor
import glenspool.wire.Fields
import glenspool.wire.FinalStateWire
import glenspool.wire.ImagesWire
import glenspool.wire.JobWire
import glenspool.wire.RecordWire
import glenspool.wire.count
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.decodeFromByteArray
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

/** Checks how old and new versions process each other's data; see docs/upgrade.md. */
class UpgradeTest {
    private val store = InMemoryStore()

    /** Returns the bytes that the version in production has written. */
    private fun productionBytes(name: String): ByteArray =
        checkNotNull(javaClass.getResourceAsStream("/stored-by-production/$name.cbor")) {
            "missing resource $name.cbor"
        }.use { it.readAllBytes() }

    private fun stored(key: String) = Cbor.decodeMap(productionBytes(key.replace('/', '~')))

    private fun read(id: String) = JobRecordReader(store).read(id, stored(Keys.job(id)))

    private fun bits(vararg set: Int) = BitSet().apply { set.forEach(::set) }

    @Test
    fun `a job array that the version in production stored is read`() {
        val wideJob =
            job("run-000412", tasks = 160, priority = Priority.IDLE, spot = true, checkpointInterval = 15.seconds)
        val placements = (1..120).map { StoredPlacement(it, 200L + it, "i-%06d".format(it)) }

        assertEquals(JobRecord(wideJob, 1000.seconds, 400, bits(0, 7, 159), placements), read("run-000412"))
    }

    @Test
    fun `a job with chunks that the version in production stored is read`() {
        val chunks = (0..1).map { Keys.chunk("run-000413", it) }
        for (key in chunks) store.transact(emptyMap(), listOf(Put(key, stored(key))), emptyList())
        val largeJob = job("run-000413", tasks = 20_000)

        assertEquals(JobRecord(largeJob, 1001.seconds, 5, bits(3, 9_000), emptyList()), read("run-000413"))
    }

    @Test
    fun `a gang that the version in production stored is read`() {
        val gang = job("run-000414", JobKind.GANG, 3, sameZone = true, zone = "a", types = listOf("big"))
        val placements = (0..2).map { StoredPlacement(it, 2, "i-000001") }

        assertEquals(JobRecord(gang, 1002.seconds, 2, BitSet(), placements), read("run-000414"))
    }

    @Test
    fun `final states, cancellations, image locations and leadership of the production version are read`() {
        val done = stored(Keys.final("run-000001"))
        val cancelled = stored(Keys.final("run-000002"))
        assertEquals(
            listOf(FinalState.DONE, FinalState.CANCELLED),
            listOf(done, cancelled)
                .map(FinalStateWire::finalState),
        )
        assertEquals(4, FinalStateWire.status("run-000001", done)["done"])
        assertEquals(1_003_000L, stored(Keys.cancel("run-000414")).count("at"))
        assertEquals(mapOf("i-000001" to mapOf("img-07" to 6.2)), ImagesWire.decode(stored(Keys.images(3))))
        assertEquals("bobbin-0" to 5L, stored(Keys.LEADERSHIP).let { it["node"] to it.count("token") })
        assertEquals(5L, stored(Keys.TOKEN_COUNTER).count("token"))
    }

    @Test
    fun `messages of the production version are decoded, and the sender is not mistaken for a new version`() {
        val status = PeerWire.decodeStatus(productionBytes("peer-status"))
        assertEquals(PeerStatus("bobbin-0", true, "bobbin-0", true, readableLevel = 0), status)

        val request = PeerWire.decodeRelayRequest(productionBytes("relay-request"))
        assertEquals("run-000412", JobWire.decode(Cbor.decodeMap(request.body)).id)

        val answer = PeerWire.decodeRelayAnswer(productionBytes("relay-answer"))
        assertEquals(201 to "1", answer.status to answer.retryAfter)
    }

    /** The status message as the version in production defines it. */
    @Serializable
    private data class OldStatus(val node: String, val leading: Boolean, val leader: String?, val fresh: Boolean)

    @OptIn(ExperimentalSerializationApi::class)
    @Test
    fun `the production version decodes the status of a new controller`() {
        val encoded = PeerWire.encode(PeerStatus("bobbin-1", false, "bobbin-0", true, PeerStatus.SEALED_RECORDS))
        val oldDecoder = kotlinx.serialization.cbor.Cbor { ignoreUnknownKeys = true }

        val decoded = oldDecoder.decodeFromByteArray<OldStatus>(encoded)

        assertEquals(OldStatus("bobbin-1", false, "bobbin-0", true), decoded)
    }

    /** Returns the values that this version stores for the record, by key. */
    private fun storedValues(record: JobRecord, parts: Map<Int, Long> = emptyMap()): Map<String, Fields> {
        val update = UpdateJobRecord(record.spec.id, 3, record, emptyList(), 1, false, parts)
        val transaction = transactionOf(7, StoreChanges(listOf(update)))
        return transaction.puts.associate { it.key to Cbor.decodeMap(Cbor.encode(it.value)) }
    }

    @Test
    fun `the production version reads a runnable job completely, and its rewrite keeps what the rules need`() {
        val placements = listOf(StoredPlacement(2, 3, "i-1"))
        val record =
            JobRecord(job("a", tasks = 9), 5.seconds, 3, bits(1), placements, dependenciesDoneAt = 7.seconds)
        val value = storedValues(record).getValue(Keys.job("a"))

        val readByOld = checkNotNull(OldVersion.read(value))
        val rewrittenByOld = OldVersion.rewrite(Put(Keys.job("a"), readByOld)).value

        // Only the time at which the job became ready is lost, which affects only the order of work.
        val expected = record.copy(dependenciesDoneAt = null)
        assertEquals(expected, JobRecordReader(store).read("a", rewrittenByOld))
        assertEquals(record, JobRecordReader(store).read("a", value))
    }

    @Test
    fun `a job with open dependencies is unreadable to the production version, so it can't start or rewrite it`() {
        val waiting = JobRecord(job("a"), 5.seconds, 0, BitSet(), emptyList(), listOf("b"))

        assertNull(OldVersion.read(RecordWire.encode(waiting)))
    }

    @Test
    fun `a job with its description in parts is unreadable to the production version`() {
        val inParts = JobRecord(job("a"), 5.seconds, 0, BitSet(), emptyList(), descriptionPartCount = 2)

        assertNull(OldVersion.read(RecordWire.encode(inParts)))
    }

    @Test
    fun `a job with placements in parts is unreadable to the production version, and readable to this one`() {
        val record =
            JobRecord(
                job("a", tasks = 9), 5.seconds, 3, BitSet(), listOf(StoredPlacement(1, 1, "i-1")),
                placementParts = mapOf(0 to listOf(StoredPlacement(2, 3, "i-2"))),
            )
        val values = storedValues(record, mapOf(0 to 1L))
        store.transact(emptyMap(), values.map { Put(it.key, it.value) }, emptyList())

        assertNull(OldVersion.read(values.getValue(Keys.job("a"))))
        assertEquals(record, JobRecordReader(store).read("a", values.getValue(Keys.job("a"))))
    }

    /**
     * Starts a controller of the version in production, which serves only two paths. The paths of the requests that it
     * serves are added to [servedPaths].
     */
    private fun oldController(servedPaths: MutableList<String>) =
        HttpListener(InetSocketAddress("127.0.0.1", 0), "old", 4, { request ->
            val path = request.uri.path
            if (path == "/peer/status" || path == "/peer/relay") {
                servedPaths.add(path)
                Response(Status.OK).body(PeerWire.encode(RelayAnswer(201, ByteArray(0), null)).inputStream())
            } else {
                Response(Status.NOT_FOUND)
            }
        })

    private fun newController(): HttpListener {
        val status = PeerStatus("n", false, null, true)
        val server = PeerServer({ status }, { null }) { RelayAnswer(200, ByteArray(0), null) }
        return HttpListener(InetSocketAddress("127.0.0.1", 0), "new", 4, server)
    }

    private fun member(listener: HttpListener) = Member("n", "here", InetSocketAddress("127.0.0.1", listener.port))

    @Test
    fun `a submission with dependencies is not relayed to a controller that would start the job immediately`() {
        val servedPaths = ArrayList<String>()
        val request = RelayRequest("POST", "/api/jobs", ByteArray(0))
        oldController(servedPaths).use { old ->
            newController().use { new ->
                val both = PeerClient(listOf(member(old), member(new)))
                val oldAlone = PeerClient(listOf(member(old)))

                assertEquals(200, both.relay(request, 5.seconds, PeerPaths.RELAY_WITH_DEPENDENCIES)?.status)
                assertEquals(emptyList<String>(), servedPaths)
                assertNull(oldAlone.relay(request, 5.seconds, PeerPaths.RELAY_WITH_DEPENDENCIES))
                assertEquals(201, both.relay(request, 5.seconds)?.status)
            }
        }
    }
}
