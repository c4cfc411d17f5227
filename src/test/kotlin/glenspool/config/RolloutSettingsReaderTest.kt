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

    private fun problemsOf(text: String): List<String> = assertThrows(SettingsError::class.java) { read(text) }.problems

    @Test
    fun `the file in deploy and an empty one give the default policy`() {
        assertEquals(RolloutPolicy(), RolloutSettingsReader().read(File("deploy/rollout.toml")))
        assertEquals(RolloutPolicy(), read(""))
    }

    @Test
    fun `every setting is read from the file`() {
        val policy =
            read(
                """
                mode = "hold"
                fenced = "exit"
                settle_s = 1
                evidence_s = 6.5
                left_behind_s = 3
                [health]
                window_s = 9
                tolerated = 4
                factor = 1.5
                """.trimIndent(),
            )
        val actual = policy.run { listOf(mode, fencedReaction, settlingTime, evidenceAge, leftBehindAfter) }
        assertEquals(listOf(ActivationMode.HOLD, FencedReaction.EXIT, 1.seconds, 6.5.seconds, 3.seconds), actual)
        assertEquals(listOf(9.seconds, 4L, 1.5), policy.health.run { listOf(window, toleratedEvents, toleratedFactor) })
    }

    @Test
    fun `every fault is reported with its path and the allowed values`() {
        val text =
            """
            mode = "sometimes"
            fenced = 3
            settle_s = -1
            evidence_s = 2
            policy = 1
            [health]
            factor = 0.5
            x = 1
            """.trimIndent()
        val problems = problemsOf(text).map { it.substringAfter("rollout.toml: ") }
        val expectedPaths =
            setOf("policy", "health.x", "mode", "fenced", "settle_s", "evidence_s", "health.factor")
        assertEquals(expectedPaths, problems.map { it.substringBefore(':') }.toSet())
        assertTrue("mode: one of automatic, manual, hold is needed" in problems)
    }

    @Test
    fun `a value in place of a table and a missing file are rejected`() {
        assertTrue(problemsOf("health = 4").single().endsWith("health: a table is needed"))
        assertThrows(SettingsError::class.java) { RolloutSettingsReader().read(File(dir, "absent.toml")) }
    }
}
