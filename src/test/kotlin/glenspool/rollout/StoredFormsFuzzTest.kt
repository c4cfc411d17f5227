package glenspool.rollout

import glenspool.core.model.JobRecord
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
import java.util.Base64
import java.util.BitSet
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tests the readers of stored records with damaged records. A reader may only return a value or throw
 * [MalformedMessage], because any other exception would end a service thread. A longer run than CI's:
 * `mvn test -Dtest=StoredFormsFuzzTest -DargLine=-Djqwik.tries.default=200000`.
 */
class StoredFormsFuzzTest {
    /** Records stored by the version in production. */
    private val productionFiles =
        listOf(
            "g~j~run-000412",
            "g~j~run-000413",
            "g~j~run-000414",
            "f~run-000001",
            "g~c~run-000414",
            "g~lead",
            "g~term",
            "g~images~3",
        )

    private fun readProductionFile(name: String): Fields {
        val stream = checkNotNull(javaClass.getResourceAsStream("/stored-by-production/$name.cbor"))
        return Cbor.decodeMap(stream.use { it.readAllBytes() })
    }

    private val orders = OperatorOrders(ActivationMode.HOLD, 2, 1, listOf(Exclusion("a", "b", 7.milliseconds)))
    private val state =
        RolloutState(
            target = 2,
            members = listOf(ObservedMember("a", "b", 1, 3.milliseconds)),
            hold = Hold(HoldCause.HEALTH, "a", "b"),
            heldSince = 9.milliseconds,
        )
    private val dependentJob =
        JobRecord(job("a", tasks = 9), 5.milliseconds, 0, BitSet(), emptyList(), dependencies = listOf("b"))

    private val intactRecords: List<Fields> =
        productionFiles.map(::readProductionFile) +
            listOf(
                RolloutWire.encode(LevelRecord(1, "sealed-records", LevelStage.ACTIVE, 4, 5.milliseconds)),
                RolloutWire.encode(orders),
                RolloutWire.encode(state),
                RecordWire.encode(dependentJob),
            )

    private val unexpectedValues: List<Any?> =
        listOf(
            null, true, "", "x", "active", -1L, 0L, 1L, Long.MAX_VALUE, 0.5, Double.NaN,
            emptyList<Any>(), listOf("a"), emptyMap<String, Any?>(), mapOf("level" to 1L),
        )

    /** Replaces, removes or adds a few values anywhere in the tree. */
    private fun damaged(value: Any?, random: Random): Any? =
        when {
            random.nextInt(12) == 0 -> unexpectedValues.random(random)
            value is Map<*, *> -> {
                val remaining = value.entries.filter { random.nextInt(15) > 0 }
                remaining.associate { (name, item) -> name.toString() to damaged(item, random) }
            }
            value is List<*> -> {
                val items = value.map { damaged(it, random) }
                if (random.nextInt(8) == 0) items + listOf(unexpectedValues.random(random)) else items
            }
            else -> value
        }

    @Suppress("UNCHECKED_CAST")
    private fun damagedRecord(seed: Long): Fields {
        val random = Random(seed)
        val original = intactRecords.random(random)
        return damaged(original, random) as? Fields ?: original
    }

    private fun readJobRecord(fields: Fields): Any? = JobRecordReader(InMemoryStore()).read("a", fields)

    private val readers: List<(Fields) -> Any?> =
        listOf(
            RolloutWire::decodeLevel,
            RolloutWire::decodeOrders,
            RolloutWire::decodeState,
            ::readJobRecord,
            OldVersion::read,
        )

    private fun readOrNull(reader: (Fields) -> Any?, fields: Fields): Any? =
        try {
            reader(fields)
        } catch (e: MalformedMessage) {
            assertNotNull(e.message)
            null
        }

    @Property(seed = "4711")
    fun `a damaged record is read, or rejected as malformed`(
        @ForAll @LongRange(min = 0) seed: Long,
    ) {
        val fields = damagedRecord(seed)
        readers.forEach { readOrNull(it, fields) }
    }

    @Property(seed = "4712")
    fun `arbitrary bytes are decoded, or rejected as malformed`(
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

    @Property(seed = "4715")
    fun `a chunk of done bits with any key and value is read, or rejected as malformed`(
        @ForAll number: String,
        @ForAll bits: ByteArray,
    ) {
        val store = InMemoryStore()
        val chunk = Put(Keys.chunks("a") + number, mapOf("done" to Base64.getEncoder().encodeToString(bits)))
        val record = JobRecord(job("a", tasks = 20_000), 5.milliseconds, 0, BitSet(), emptyList())
        store.transact(emptyMap(), listOf(chunk), emptyList())
        readOrNull({ JobRecordReader(store).read("a", it) }, RecordWire.encode(record))
    }

    @Property(tries = 400, seed = "4713")
    fun `a level record decodes to itself, and no other reader accepts it`(
        @ForAll("levelRecords") record: LevelRecord,
    ) {
        val fields = Cbor.decodeMap(Cbor.encode(RolloutWire.encode(record)))
        assertEquals(record, RolloutWire.decodeLevel(fields))
        assertNull(readOrNull(RolloutWire::decodeOrders, fields))
        assertNull(readOrNull(RolloutWire::decodeState, fields))
        assertNull(OldVersion.read(fields))
        assertNull(readOrNull(::readJobRecord, fields))
    }

    @Property(seed = "4714")
    fun `a damaged level record permits and fences only what its decodable fields state`(
        @ForAll @LongRange(min = 0) seed: Long,
    ) {
        val store = InMemoryStore()
        store.transact(emptyMap(), listOf(Put(Keys.LEVEL, damagedRecord(seed))), emptyList())
        val gate = FeatureGate(FeatureRegistry.CURRENT.levelsOf("b"), RolloutRecords(store) { true }::level)
        val record = readOrNull(RolloutWire::decodeLevel, store.entries.getValue(Keys.LEVEL).value) as LevelRecord?
        val mayWrite = record != null && record.level == 1 && record.stage == LevelStage.ACTIVE
        val mustNotServe = record != null && record.level > 1
        assertEquals(mayWrite, gate.permit(1) != null)
        assertEquals(mustNotServe, gate.fence() != null)
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
