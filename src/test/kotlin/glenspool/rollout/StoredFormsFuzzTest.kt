package glenspool.rollout

import glenspool.simulation.InMemoryStore
import glenspool.simulation.OldVersion
import glenspool.simulation.job
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.RolloutRecords
import glenspool.wire.Cbor
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import glenspool.wire.RecordWire
import glenspool.wire.RolloutWire
import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.Combinators
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import net.jqwik.api.constraints.LongRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * The readers of stored records against what should never be stored. A reader may only answer or say
 * [MalformedMessage]: any other exception would stop a duty. A longer run than CI's: `mvn test
 * -Dtest=StoredFormsFuzzTest -DargLine=-Djqwik.tries.default=200000`.
 */
class StoredFormsFuzzTest {
    private val files =
        listOf("g~j~run-000412", "g~j~run-000413", "g~j~run-000414", "f~run-000001", "g~c~run-000414", "g~lead", "g~term", "g~images~3")
    private val stored: List<Fields> =
        files.map { name ->
            Cbor
                .decodeMap(
                    javaClass.getResourceAsStream("/stored-by-production/$name.cbor").use {
                        checkNotNull(it)
                            .readAllBytes()
                    },
                )
        } +
            listOf(
                RolloutWire.encode(LevelRecord(1, "sealed-records", LevelStage.ACTIVE, 4, 5.milliseconds)),
                RolloutWire
                    .encode(OperatorOrders(ActivationMode.HOLD, 2, 1, listOf(Exclusion("a", "b", 7.milliseconds)))),
                RolloutWire
                    .encode(
                        RolloutState(
                            2, listOf(MemberSeen("a", "b", 1, 3.milliseconds)), Hold(HoldCause.HEALTH, "a", "b"),
                            9
                                .milliseconds,
                        ),
                    ),
                RecordWire
                    .encode(
                        glenspool.core.model
                            .JobRecord(job("a", tasks = 9), 5.milliseconds, 0, java.util.BitSet(), emptyList(), listOf("b")),
                    ),
            )

    private val odd: List<Any?> =
        listOf(
            null, true, "", "x", "active", -1L, 0L, 1L, Long.MAX_VALUE, 0.5, Double.NaN, emptyList<Any>(), listOf("a"), emptyMap<String, Any?>(),
            mapOf(
                "level" to 1L,
            ),
        )

    /** Replaces, removes or adds a few values anywhere in the tree. */
    private fun damaged(value: Any?, random: Random): Any? =
        when {
            random.nextInt(12) == 0 -> odd.random(random)
            value is Map<*, *> ->
                value.entries.filter { random.nextInt(15) > 0 }.associate { (k, v) ->
                    k.toString() to
                        damaged(v, random)
                }
            value is List<*> ->
                value.map { damaged(it, random) } +
                    (if (random.nextInt(8) == 0) listOf(odd.random(random)) else emptyList())
            else -> value
        }

    @Suppress("UNCHECKED_CAST")
    private fun damagedRecord(seed: Long): Fields {
        val random = Random(seed)
        val original = stored.random(random)
        return damaged(original, random) as? Fields ?: original
    }

    private val readers: List<(Fields) -> Any?> =
        listOf(
            RolloutWire::level,
            RolloutWire::orders,
            RolloutWire::state,
            { JobRecordReader(InMemoryStore()).read("a", it) },
            { OldVersion.reads(it) },
        )

    private fun readOrNull(reader: (Fields) -> Any?, fields: Fields): Any? =
        try {
            reader(fields)
        } catch (e: MalformedMessage) {
            assertNotNull(e.message)
            null
        }

    @Property(seed = "4711")
    fun `damaged records are read or malformed, nothing else`(
        @ForAll @LongRange(min = 0) seed: Long,
    ) {
        val fields = damagedRecord(seed)
        readers.forEach { readOrNull(it, fields) }
    }

    @Property(seed = "4712")
    fun `bytes of any kind are a map or malformed`(
        @ForAll bytes: ByteArray,
    ) {
        val fields =
            try {
                Cbor.decodeMap(bytes)
            } catch (e: MalformedMessage) {
                assertNotNull(e.message)
                return
            }
        readers.forEach { readOrNull(it, fields) }
    }

    @Property(tries = 400, seed = "4713")
    fun `level records come back as they were written, and are nothing else`(
        @ForAll("levelRecords") record: LevelRecord,
    ) {
        val back = Cbor.decodeMap(Cbor.encode(RolloutWire.encode(record)))
        assertEquals(record, RolloutWire.level(back))
        assertNull(readOrNull(RolloutWire::orders, back))
        assertNull(readOrNull(RolloutWire::state, back))
        assertNull(OldVersion.reads(back))
        assertNull(readOrNull({ JobRecordReader(InMemoryStore()).read("a", it) }, back))
    }

    @Property(seed = "4714")
    fun `whatever lies under the level's key permits nothing beyond what it says`(
        @ForAll @LongRange(min = 0) seed: Long,
    ) {
        val state = InMemoryStore()
        state.transact(emptyMap(), listOf(Put(Keys.LEVEL, damagedRecord(seed))), emptyList())
        val gate = FeatureGate(FeatureRegistry.CURRENT.of("b"), RolloutRecords(state) { true }::level)
        val level = readOrNull(RolloutWire::level, state.entries.getValue(Keys.LEVEL).value) as LevelRecord?
        assertEquals(level != null && level.level == 1 && level.stage == LevelStage.ACTIVE, gate.permit(1) != null)
        assertEquals(level != null && level.level > 1, gate.fence() != null)
    }

    @Provide
    fun levelRecords(): Arbitrary<LevelRecord> =
        Combinators
            .combine(
                Arbitraries.integers().between(0, 1_000_000),
                Arbitraries.strings().ofMaxLength(20),
                Arbitraries.of(LevelStage.ACTIVE, LevelStage.LEAVING),
                Arbitraries.longs().between(0, Long.MAX_VALUE),
                Arbitraries.longs().between(0, 4_000_000_000_000),
            ).`as` { level, name, stage, token, at -> LevelRecord(level, name, stage, token, at.milliseconds) }
}
