package glenspool.config

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class SettingsTest {
    @TempDir
    lateinit var dir: File

    private fun read(text: String): Settings = SettingsReader().read(File(dir, "s.toml").also { it.writeText(text) })

    private fun problemsOf(text: String): List<String> = assertThrows(SettingsError::class.java) { read(text) }.problems

    /** Returns the valid settings with a table of announced store limits. */
    private fun withNextLimits(limits: String) =
        VALID_SETTINGS.replace("[settings.cloud]", "[settings.state.next]\n$limits\n[settings.cloud]")

    @Test
    fun `without announced store limits the current ones apply`() {
        val limits = read(VALID_SETTINGS).storeLimits
        assertEquals(null, limits.announced)
        assertEquals(limits.current, limits.effective)
    }

    @Test
    fun `announced store limits apply from the start, and omitted ones keep their current values`() {
        val limits = read(withNextLimits("value_kb = 2.0\ntxn_ops = 90")).storeLimits
        assertEquals(limits.current.copy(valueBytes = 2048), limits.effective)
        assertEquals(limits.current.copy(valueBytes = 2048, txnOps = 90), limits.announced)
    }

    @Test
    fun `invalid announced store limits are reported with their paths`() {
        val problems = problemsOf(withNextLimits("value_kb = 0.5\ntxn_ops = 2\nwrite_rps = \"x\""))
        val expected =
            listOf("settings.state.next.write_rps", "settings.state.next.value_kb", "settings.state.next.txn_ops")
        assertEquals(expected, problems.map { it.substringBefore(':') })
    }

    @Test
    fun `a valid file is read completely, and unknown names are ignored`() {
        val settings = read(VALID_SETTINGS + "\n[novelty]\nx = 1\n")
        assertEquals("bobbin-0", settings.node)
        assertEquals(listOf("bobbin-1"), settings.members.map { it.name })
        assertEquals(8080, settings.apiAddr.port)
        assertEquals(5.milliseconds, settings.maxClockSkew)
        assertEquals(1.5.seconds, settings.workers.heartbeatInterval)
        assertEquals(16 * 1024, settings.storeLimits.current.valueBytes)
        assertEquals(null, settings.teams[0].cpusMax)
        assertEquals(36.0, settings.teams[0].gpusMax)
        assertEquals(18.seconds, settings.objectives[0].within)
    }

    @Test
    fun `all faults are reported together with their paths`() {
        val invalid =
            VALID_SETTINGS
                .replace("report_s = 1.5", "report_s = \"often\"")
                .replace("txn_ops = 24", "")
                .replace("cloud = \"10.2.0.2:8443\"", "cloud = \"nowhere\"")
                .replace("gpus_max = 36.0", "gpus_max = -1.0")
        val expectedPaths =
            listOf("settings.workers.report_s", "settings.state.txn_ops", "outside.cloud", "settings.teams[0].gpus_max")
        val problems = problemsOf(invalid)
        for (path in expectedPaths) assertTrue(problems.any { it.startsWith("$path:") }, "$path in $problems")
        assertEquals(4, problems.size)
    }

    @Test
    fun `a transaction limit below the operations of one job's change is rejected`() {
        val problem = problemsOf(VALID_SETTINGS.replace("txn_ops = 24", "txn_ops = 2")).single()
        assertTrue(problem.startsWith("settings.state.txn_ops:"), problem)
    }

    @Test
    fun `a file that is missing or is not TOML is rejected with a settings error`() {
        assertThrows(SettingsError::class.java) { read("host_name = ") }
        assertThrows(SettingsError::class.java) { SettingsReader().read(File(dir, "absent.toml")) }
    }

    companion object {
        /** A valid settings file. */
        val VALID_SETTINGS =
            """
            host_name = "bobbin-0"
            location = "here"
            api_addr = "10.0.0.1:8080"
            internal_addr = "10.0.0.1:8081"
            [[members]]
            host_name = "bobbin-1"
            location = "here"
            addr = "10.0.0.2:8081"
            [outside]
            cloud = "10.2.0.2:8443"
            state = "10.2.0.1:2379"
            [settings]
            initial_size = 3
            zones = ["here"]
            skew_ms = 5.0
            [[settings.teams]]
            name = "a"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 12.0
            gpus_max = 36.0
            [[settings.objectives]]
            kind = "wait"
            class = "order-match"
            within_s = 18.0
            share = 0.8
            [settings.workers]
            report_s = 1.5
            lease_s = 14.0
            gang_wait_s = 30.0
            gang_peer_s = 6.0
            cancel_s = 44.0
            [settings.state]
            rps = 200.0
            write_rps = 80.0
            value_kb = 16.0
            txn_ops = 24
            [settings.cloud]
            rps = 5.0
            list_lag_s = 6.0
            [settings.quota]
            cores = 0.17
            ram_mb = 181.0
            fd_limit = 900
            """.trimIndent()
    }
}
