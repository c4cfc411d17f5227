package glenspool.cli

import glenspool.config.SettingsTest
import glenspool.simulation.CapturedRun
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File

class CommandLineTest {
    @TempDir
    lateinit var dir: File

    private fun run(vararg args: String) = CapturedRun.of { execute(args.toList()) }

    @Test
    fun `wrong usage is reported on standard error with exit code 2`() {
        val invalid =
            listOf(
                emptyList(),
                listOf("dance"),
                listOf("serve"),
                listOf("serve", "--config"),
                listOf("serve", "--colour", "x", "--config", "y"),
                listOf("check-config"),
                listOf("job"),
                listOf("job", "show", "run-1"),
                listOf("job", "show", "--node", "nowhere", "run-1"),
                listOf("job", "sing", "--node", "127.0.0.1:1", "x"),
            )
        for (args in invalid) {
            val rejected = run(*args.toTypedArray())
            assertEquals(2, rejected.code, "$args")
            assertTrue(rejected.err.startsWith("glenspool: "), "$args")
            assertEquals("", rejected.out)
        }
    }

    @Test
    fun `help and version are printed on standard output`() {
        assertTrue(run("--help").out.contains("check-config"))
        assertTrue(run("--version").out.startsWith("glenspool "))
    }

    @Test
    fun `check-config accepts a valid settings file`() {
        val valid = File(dir, "good.toml").also { it.writeText(SettingsTest.VALID_SETTINGS) }
        assertEquals(0, run("check-config", valid.path).code)
    }

    @Test
    fun `check-config reports a script value that is out of range`() {
        val valid = File(dir, "good.toml").also { it.writeText(SettingsTest.VALID_SETTINGS) }
        val script = File(dir, "tune.lua").also { it.writeText("tuning.headroom = 99") }
        val rejected = run("check-config", "--script", script.path, valid.path)
        assertEquals(1, rejected.code)
        assertTrue(rejected.err.contains("tuning.headroom"))
    }

    @Test
    fun `check-config reports a missing setting`() {
        val text = SettingsTest.VALID_SETTINGS.replace("lease_s = 14.0", "")
        val incomplete = File(dir, "bad.toml").also { it.writeText(text) }
        assertTrue(run("check-config", incomplete.path).err.contains("settings.workers.lease_s"))
    }
}
