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
    fun `the file in deploy says what holds without it, an empty one too, and each setting is taken`() {
        assertEquals(RecoveryPolicy(), RecoverySettingsReader().read(File("deploy/recovery.toml")))
        assertEquals(RecoveryPolicy(), read(""))
        val text =
            "gather_share = 0.5\ngather_lease_share = 1\nrepair_lease_share = 2\nbreaker_share = 0.1\nbreaker_wait_s = 7\n" +
                "[rates]\nstarts = 2\nstops = 0.2\nrentals = 0.3\ndeletions = 0.4"
        assertEquals(RecoveryPolicy(0.5, 1.0, 2.0, RepairRates(2.0, 0.2, 0.3, 0.4), 0.1, 7.seconds), read(text))
    }

    @Test
    fun `shares, rates and times that can't work are named with their path and what would do`() {
        val text = "gather_share = 1.5\ngather_lease_share = 0\nbreaker_share = -1\nbreaker_wait_s = \"soon\"\nspeed = 1\n[rates]\nstops = 0\nwishes = 1"
        val faults =
            assertThrows(SettingsError::class.java) { read(text) }.problems.map {
                it
                    .substringAfter("recovery.toml: ")
            }
        assertEquals(
            setOf("gather_share", "gather_lease_share", "breaker_share", "breaker_wait_s", "speed", "rates.stops", "rates.wishes"),
            faults.map { it.substringBefore(':') }.toSet(),
        )
        assertEquals(
            "rates.stops: a number from 0.001 to 100.0 is needed",
            faults.single {
                it.startsWith("rates.stops")
            },
        )
    }
}
