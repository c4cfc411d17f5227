package glenspool.config

import glenspool.core.Tuning
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File
import kotlin.time.Duration.Companion.seconds

class OperatorScriptTest {
    @TempDir
    lateinit var dir: File
    private lateinit var script: OperatorScript

    @BeforeEach
    fun settings() {
        script = OperatorScript(SettingsReader().read(File(dir, "s.toml").also { it.writeText(SettingsTest.GOOD) }))
    }

    private fun problems(source: String) =
        assertThrows(SettingsError::class.java) { script.run(source, "tune.lua") }
            .problems

    @Test
    fun `named values are set and the rest keep their defaults`() {
        val t = script.run("tuning.resource_factor = 3\ntuning.idle_return_s = deployment.lease_s * 2\n", "tune.lua")
        assertEquals(Tuning(resourceFactor = 3.0, idleReturn = 28.seconds), t)
        assertEquals(Tuning(), script.run("", "tune.lua"))
    }

    @Test
    fun `unknown names and impossible values are refused together`() {
        val p = problems("tuning.colour = 1\ntuning.headroom = -1\ntuning.silence_share = 'much'\n")
        assertEquals(3, p.size)
        assertTrue(
            p.any { "tuning.colour" in it } &&
                p.any { "tuning.headroom" in it } &&
                p.any { "tuning.silence_share" in it },
        )
    }

    @Test
    fun `errors name the line`() {
        assertTrue(problems("tuning.headroom = 1\nnonsense(\n").single().contains("tune.lua:"))
        assertTrue(problems("\n\nerror('no')").single().contains("tune.lua:3"))
    }

    @Test
    fun `a script reaches nothing outside and ends`() {
        for (s in listOf("io.open('/etc/passwd')", "os.exit(0)", "require('io')", "dofile('x')", "luajava.bindClass('java.lang.System')", "string.rep('x', 1e9)")) {
            assertTrue(problems(s).isNotEmpty(), s)
        }
        assertTrue(problems("while true do end").single().contains("too long"))
    }
}
