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
import glenspool.wire.FinalWire
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

/** Old and new versions on each other's data: see docs/upgrade.md. */
class UpgradeTest {
    private val state = InMemoryStore()

    private fun made(name: String): ByteArray =
        javaClass.getResourceAsStream("/stored-by-production/$name.cbor").use {
            checkNotNull(it)
                .readAllBytes()
        }

    private fun stored(key: String) = Cbor.decodeMap(made(key.replace('/', '~')))

    private fun read(id: String) = JobRecordReader(state).read(id, stored(Keys.job(id)))

    private fun bits(vararg n: Int) = BitSet().apply { n.forEach(::set) }

    @Test
    fun `jobs that the version in production stored are read`() {
        val wide = job("run-000412", tasks = 160, priority = Priority.IDLE, spot = true, checkpointInterval = 15.seconds)
        assertEquals(
            JobRecord(
                wide, 1000.seconds, 400, bits(0, 7, 159),
                (1..120).map {
                    StoredPlacement(
                        it, 200L + it,
                        "i-%06d"
                            .format(it),
                    )
                },
            ),
            read("run-000412"),
        )
        for (n in 0..1) {
            state
                .transact(emptyMap(), listOf(Put(Keys.chunk("run-000413", n), stored(Keys.chunk("run-000413", n)))), emptyList())
        }
        assertEquals(JobRecord(job("run-000413", tasks = 20_000), 1001.seconds, 5, bits(3, 9_000), emptyList()), read("run-000413"))
        val gang = job("run-000414", JobKind.GANG, 3, sameZone = true, zone = "a", types = listOf("big"))
        assertEquals(
            JobRecord(
                gang, 1002.seconds, 2, BitSet(),
                (0..2).map {
                    StoredPlacement(it, 2, "i-000001")
                },
            ),
            read("run-000414"),
        )
    }

    @Test
    fun `its ends, cancellations, hints and leadership are read`() {
        assertEquals(
            listOf(FinalState.DONE, FinalState.CANCELLED),
            listOf("run-000001", "run-000002").map {
                FinalWire
                    .end(stored(Keys.final(it)))
            },
        )
        assertEquals(4, FinalWire.answer("run-000001", stored(Keys.final("run-000001")))["done"])
        assertEquals(1_003_000L, stored(Keys.cancel("run-000414")).count("at"))
        assertEquals(mapOf("i-000001" to mapOf("img-07" to 6.2)), ImagesWire.decode(stored(Keys.images(3))))
        assertEquals("bobbin-0" to 5L, stored(Keys.LEAD).let { it["node"] to it.count("token") })
        assertEquals(5L, stored(Keys.TERM).count("token"))
    }

    @Test
    fun `its messages are understood, and it is not taken for a new one`() {
        assertEquals(PeerStatus("bobbin-0", true, "bobbin-0", true, reads = 0), PeerWire.decodeStatus(made("peer-status")))
        val r = PeerWire.decodeRelayRequest(made("relay-request"))
        assertEquals("run-000412", JobWire.decode(Cbor.decodeMap(r.body)).id)
        assertEquals(201 to "1", PeerWire.decodeRelayAnswer(made("relay-answer")).let { it.status to it.retryAfter })
    }

    /** The form of a status that the version in production knows. */
    @Serializable
    private data class OldStatus(val node: String, val leading: Boolean, val leader: String?, val fresh: Boolean)

    @OptIn(ExperimentalSerializationApi::class)
    @Test
    fun `it understands what a new controller says of itself`() {
        val new = PeerWire.encode(PeerStatus("bobbin-1", false, "bobbin-0", true, PeerStatus.SEALED))
        val old = kotlinx.serialization.cbor.Cbor { ignoreUnknownKeys = true }
        assertEquals(OldStatus("bobbin-1", false, "bobbin-0", true), old.decodeFromByteArray<OldStatus>(new))
    }

    private fun saved(r: JobRecord, parts: Map<Int, Long> = emptyMap()) =
        transactionOf(7, StoreChanges(listOf(UpdateJobRecord(r.spec.id, 3, r, emptyList(), 1, false, parts)))).puts.associate {
            it.key to
                Cbor.decodeMap(Cbor.encode(it.value))
        }

    @Test
    fun `a job that may run is stored so that it reads all of it, and loses nothing that a rule needs`() {
        val r =
            JobRecord(
                job("a", tasks = 9), 5.seconds, 3, bits(1), listOf(StoredPlacement(2, 3, "i-1")), emptyList(),
                dependenciesDoneAt =
                    7
                        .seconds,
            )
        val seen = OldVersion.reads(saved(r).getValue(Keys.job("a")))
        val back = JobRecordReader(state).read("a", OldVersion.rewrites(Put(Keys.job("a"), checkNotNull(seen))).value)
        // Only when it became ready is lost, which orders work.
        assertEquals(r.copy(dependenciesDoneAt = null), back)
        assertEquals(r, JobRecordReader(state).read("a", saved(r).getValue(Keys.job("a"))))
    }

    @Test
    fun `a job that waits, or has places or words stored apart, is unreadable to it, so it neither starts nor rewrites it`() {
        val waiting = JobRecord(job("a"), 5.seconds, 0, BitSet(), emptyList(), listOf("b"))
        assertNull(OldVersion.reads(RecordWire.encode(waiting)))
        val placementParts =
            JobRecord(
                job("a", tasks = 9), 5.seconds, 3, BitSet(), listOf(StoredPlacement(1, 1, "i-1")),
                placementParts =
                    mapOf(
                        0 to listOf(StoredPlacement(2, 3, "i-2")),
                    ),
            )
        val puts = saved(placementParts, mapOf(0 to 1L))
        assertNull(OldVersion.reads(puts.getValue(Keys.job("a"))))
        state.transact(emptyMap(), puts.map { Put(it.key, it.value) }, emptyList())
        assertEquals(placementParts, JobRecordReader(state).read("a", puts.getValue(Keys.job("a"))))
        assertNull(OldVersion.reads(RecordWire.encode(waiting.copy(dependencies = emptyList(), descriptionParts = 2))))
    }

    @Test
    fun `a submission that waits is not passed to a controller that would start it at once`() {
        val taken = ArrayList<String>()
        // The version in production knows two paths.
        val old =
            HttpListener(InetSocketAddress("127.0.0.1", 0), "old", 4, { r ->
                if (r.uri.path == "/peer/status" || r.uri.path == "/peer/relay") {
                    taken.add(r.uri.path)
                    Response(Status.OK).body(PeerWire.encode(RelayAnswer(201, ByteArray(0), null)).inputStream())
                } else {
                    Response(Status.NOT_FOUND)
                }
            })
        val new =
            HttpListener(
                InetSocketAddress("127.0.0.1", 0), "new", 4,
                PeerServer({
                    PeerStatus("n", false, null, true)
                }, { null }) { RelayAnswer(200, ByteArray(0), null) },
            )
        val members = listOf(old, new).map { Member("n", "here", InetSocketAddress("127.0.0.1", it.port)) }
        val request = RelayRequest("POST", "/api/jobs", ByteArray(0))
        assertEquals(200, PeerClient(members).relay(request, 5.seconds, PeerPaths.RELAY_CHAINED)?.status)
        assertEquals(emptyList<String>(), taken)
        assertNull(PeerClient(members.take(1)).relay(request, 5.seconds, PeerPaths.RELAY_CHAINED))
        assertEquals(201, PeerClient(members).relay(request, 5.seconds)?.status)
        old.close()
        new.close()
    }
}
