package glenspool.api

import glenspool.http.CallResult
import glenspool.http.HttpListener
import glenspool.rollout.FeatureGate
import glenspool.rollout.FeatureRegistry
import glenspool.rollout.LevelRecord
import glenspool.rollout.LevelStage
import glenspool.simulation.UserApiTestBase
import glenspool.state.Keys
import glenspool.state.RolloutRecords
import glenspool.wire.RolloutWire
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.then
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Submissions at a controller whose feature levels are managed. */
class FeatureLevelApiTest : UserApiTestBase(SMALL_STORE_SETTINGS) {
    private val gate = FeatureGate(FeatureRegistry.CURRENT.levelsOf("build"), RolloutRecords(state) { true }::level)

    @BeforeEach
    fun manageLevels() {
        features = gate
    }

    private fun storeLevel(stage: LevelStage, level: Int = 1) {
        state.put(Keys.LEVEL, RolloutWire.encode(LevelRecord(level, "n", stage, 1, 5.milliseconds)))
    }

    @Test
    fun `a job with dependencies gets 503 until its level is active, unless it is known already`() {
        assertEquals(201, submit(spec("run-1")).status)
        assertEquals(503, submit(spec("run-2"), listOf("run-1")).status)
        assertEquals(404, show("run-2").status)
        storeLevel(LevelStage.ACTIVE)
        assertEquals(201, submit(spec("run-2"), listOf("run-1")).status)
        storeLevel(LevelStage.LEAVING)
        assertEquals(200, submit(spec("run-2"), listOf("run-1")).status)
        assertEquals(503, submit(spec("run-3"), listOf("run-1")).status)
        assertEquals(201, submit(spec("run-4")).status)
    }

    @Test
    fun `a record is refused if its level changes to LEAVING just before the transaction`() {
        submit(spec("run-1"))
        storeLevel(LevelStage.ACTIVE)
        state.beforeTransaction = { puts ->
            if (puts.any { it.key == Keys.job("run-2") }) {
                state.beforeTransaction = {}
                storeLevel(LevelStage.LEAVING)
            }
        }
        assertEquals(503, submit(spec("run-2"), listOf("run-1")).status)
        assertTrue(Keys.job("run-2") !in state.entries)
    }

    @Test
    fun `no description parts are stored before the level is active, even if the store refuses the value`() {
        state.maxValueBytes = 2048
        val longSpec = spec("run-1").copy(types = List(150) { "some-type-$it" } + "big")
        assertEquals(503, submit(longSpec).status)
        assertEquals(emptyList<String>(), state.entries.keys.filter { it.startsWith(Keys.DESCRIPTION_PART) })
        storeLevel(LevelStage.ACTIVE)
        assertEquals(201, submit(longSpec).status)
    }

    @Test
    fun `a fenced controller rejects all requests and reports the level that it needs`() {
        var refusals = 0
        val handler = refusalFilter { refusals++ }.then(fenceFilter(gate::fence)).then { Response(Status.OK) }
        HttpListener(InetSocketAddress("127.0.0.1", 0), "api", 2, handler).use { listener ->
            fun request(path: String) = http.get("127.0.0.1:${listener.port}", path, 2.seconds) as CallResult.Response
            assertEquals(200, request("/ready").status)
            storeLevel(LevelStage.ACTIVE, level = 2)
            assertEquals(listOf(503, 503), listOf("/ready", "/api/jobs/run-1").map { request(it).status })
            assertEquals(2L, request("/api/jobs/run-1").body["needs_level"])
            assertTrue((request("/ready").body["error"] as String).contains("level 2 (n) is active"))
            // Refused health probes are not counted.
            assertEquals(2, refusals)
        }
    }
}
