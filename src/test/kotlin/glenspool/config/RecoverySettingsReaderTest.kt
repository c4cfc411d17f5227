package glenspool.config

import glenspool.reconcile.RecoveryPolicy
import glenspool.reconcile.RepairRates
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File
import kotlin.time.Duration.Companion.seconds

class RecoverySettingsReaderTest {
    @TempDir
    lateinit var dir: File

    private fun read(text: String) =
        RecoverySettingsReader()
            .read(File(dir, "recovery.toml").also { it.writeText(text) })

    @Test
    fun `the file in deploy and an empty one give the default policy`() {
        assertEquals(RecoveryPolicy(), RecoverySettingsReader().read(File("deploy/recovery.toml")))
        assertEquals(RecoveryPolicy(), read(""))
    }

    @Test
    fun `every setting is read from the file`() {
        val text =
            """
            gather_share = 0.5
            gather_lease_share = 1
            repair_lease_share = 2
            breaker_share = 0.1
            breaker_wait_s = 7
            [rates]
            starts = 2
            stops = 0.2
            rentals = 0.3
            deletions = 0.4
            """.trimIndent()
        assertEquals(RecoveryPolicy(0.5, 1.0, 2.0, RepairRates(2.0, 0.2, 0.3, 0.4), 0.1, 7.seconds), read(text))
    }

    @Test
    fun `values out of range and unknown names are reported with their paths and the allowed range`() {
        val text =
            """
            gather_share = 1.5
            gather_lease_share = 0
            breaker_share = -1
            breaker_wait_s = "soon"
            speed = 1
            [rates]
            stops = 0
            wishes = 1
            """.trimIndent()
        val problems =
            assertThrows(SettingsError::class.java) { read(text) }
                .problems
                .map { it.substringAfter("recovery.toml: ") }
        val expectedPaths =
            setOf(
                "gather_share", "gather_lease_share", "breaker_share", "breaker_wait_s", "speed",
                "rates.stops", "rates.wishes",
            )
        assertEquals(expectedPaths, problems.map { it.substringBefore(':') }.toSet())
        assertEquals(
            "rates.stops: a number from 0.001 to 100.0 is needed",
            problems.single { it.startsWith("rates.stops") },
        )
    }
}
