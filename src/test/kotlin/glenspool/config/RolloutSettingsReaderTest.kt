package glenspool.config

import glenspool.rollout.ActivationMode
import glenspool.rollout.FencedReaction
import glenspool.rollout.RolloutPolicy
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File
import kotlin.time.Duration.Companion.seconds

class RolloutSettingsReaderTest {
    @TempDir
    lateinit var dir: File

    private fun read(text: String) = RolloutSettingsReader().read(File(dir, "rollout.toml").also { it.writeText(text) })

    @Test
    fun `the file in deploy says what holds without it, and an empty one too`() {
        assertEquals(RolloutPolicy(), RolloutSettingsReader().read(File("deploy/rollout.toml")))
        assertEquals(RolloutPolicy(), read(""))
    }

    @Test
    fun `each setting is taken`() {
        val policy =
            read("mode = \"hold\"\nfenced = \"exit\"\nsettle_s = 1\nevidence_s = 6.5\nleft_behind_s = 3\n[health]\nwindow_s = 9\ntolerated = 4\nfactor = 1.5")
        assertEquals(
            listOf(ActivationMode.HOLD, FencedReaction.EXIT, 1.seconds, 6.5.seconds, 3.seconds),
            policy.run {
                listOf(mode, fenced, settle, evidenceAge, leftBehindAfter)
            },
        )
        assertEquals(listOf(9.seconds, 4L, 1.5), policy.health.run { listOf(window, tolerated, factor) })
    }

    @Test
    fun `every fault is named with its path and what would do`() {
        val error =
            assertThrows(SettingsError::class.java) {
                read("mode = \"sometimes\"\nfenced = 3\nsettle_s = -1\nevidence_s = 2\npolicy = 1\n[health]\nfactor = 0.5\nx = 1")
            }
        val faults = error.problems.map { it.substringAfter("rollout.toml: ") }
        assertEquals(
            setOf("policy", "health.x", "mode", "fenced", "settle_s", "evidence_s", "health.factor"),
            faults
                .map { it.substringBefore(':') }
                .toSet(),
        )
        assertTrue("mode: one of automatic, manual, hold is needed" in faults)
        assertTrue(
            assertThrows(SettingsError::class.java) { read("health = 4") }
                .problems
                .single()
                .endsWith("health: a table is needed"),
        )
        assertThrows(SettingsError::class.java) { RolloutSettingsReader().read(File(dir, "absent.toml")) }
    }
}
