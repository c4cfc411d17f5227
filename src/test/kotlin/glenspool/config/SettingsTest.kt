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

    @Test
    fun `limits that will hold some day are kept from the start, and what they leave out stays as it is`() {
        assertEquals(null, read(GOOD).storeLimits.next)
        assertEquals(read(GOOD).storeLimits.now, read(GOOD).storeLimits.safe)
        val s =
            read(
                GOOD
                    .replace("[settings.cloud]", "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 90\n[settings.cloud]"),
            ).storeLimits
        assertEquals(s.now.copy(valueBytes = 2048), s.safe)
        assertEquals(s.now.copy(valueBytes = 2048, txnOps = 90), s.next)
        val bad =
            GOOD
                .replace("[settings.cloud]", "[settings.state.next]\nvalue_kb = 0.5\ntxn_ops = 2\nwrite_rps = \"x\"\n[settings.cloud]")
        val e = assertThrows(SettingsError::class.java) { read(bad) }
        assertEquals(
            listOf("settings.state.next.write_rps", "settings.state.next.value_kb", "settings.state.next.txn_ops"),
            e.problems
                .map { it.substringBefore(':') },
        )
    }

    @Test
    fun `a good file is read whole, and unknown fields are ignored`() {
        val s = read(GOOD + "\n[novelty]\nx = 1\n")
        assertEquals("bobbin-0", s.node)
        assertEquals(listOf("bobbin-1"), s.members.map { it.name })
        assertEquals(8080, s.apiAddr.port)
        assertEquals(5.milliseconds, s.clockBound)
        assertEquals(1.5.seconds, s.workers.heartbeatInterval)
        assertEquals(16 * 1024, s.storeLimits.now.valueBytes)
        assertEquals(null, s.teams[0].cpusMax)
        assertEquals(36.0, s.teams[0].gpusMax)
        assertEquals(18.seconds, s.objectives[0].within)
    }

    @Test
    fun `every fault is named by its path, all at once`() {
        val bad =
            GOOD
                .replace("report_s = 1.5", "report_s = \"often\"")
                .replace("txn_ops = 24", "")
                .replace("cloud = \"10.2.0.2:8443\"", "cloud = \"nowhere\"")
                .replace("gpus_max = 36.0", "gpus_max = -1.0")
        val e = assertThrows(SettingsError::class.java) { read(bad) }
        for (path in listOf("settings.workers.report_s", "settings.state.txn_ops", "outside.cloud", "settings.teams[0].gpus_max")) {
            assertTrue(e.problems.any { it.startsWith("$path:") }, "$path in ${e.problems}")
        }
        assertEquals(4, e.problems.size)
        assertTrue(
            assertThrows(SettingsError::class.java) { read(GOOD.replace("txn_ops = 24", "txn_ops = 2")) }
                .problems
                .single()
                .startsWith("settings.state.txn_ops:"),
        )
    }

    @Test
    fun `a file that is no TOML or not there is an error, not a crash`() {
        assertThrows(SettingsError::class.java) { read("host_name = ") }
        assertThrows(SettingsError::class.java) { SettingsReader().read(File(dir, "absent.toml")) }
    }

    companion object {
        val GOOD =
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
