package glenspool.cli

import glenspool.config.SettingsTest
import glenspool.http.HttpListener
import glenspool.http.cbor
import glenspool.simulation.CapturedRun
import glenspool.wire.Cbor
import org.http4k.core.Status
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File
import java.net.InetSocketAddress

class CommandLineTest {
    @TempDir
    lateinit var dir: File

    private fun run(vararg args: String) = CapturedRun.of { execute(args.toList()) }

    @Test
    fun `wrong usage is told on standard error with code 2`() {
        val wrong =
            listOf(
                emptyList(), listOf("dance"), listOf("serve"), listOf("serve", "--config"), listOf("serve", "--colour", "x", "--config", "y"), listOf("check-config"),
                listOf("job"), listOf("job", "show", "run-1"), listOf("job", "show", "--node", "nowhere", "run-1"), listOf("job", "sing", "--node", "127.0.0.1:1", "x"),
            )
        for (args in wrong) {
            val r = run(*args.toTypedArray())
            assertEquals(2, r.code, "$args")
            assertTrue(r.err.startsWith("glenspool: "), "$args")
            assertEquals("", r.out)
        }
    }

    @Test
    fun `help and version answer on standard output`() {
        assertTrue(run("--help").out.contains("check-config"))
        assertTrue(run("--version").out.startsWith("glenspool "))
    }

    @Test
    fun `check-config tells good from bad`() {
        val good = File(dir, "good.toml").also { it.writeText(SettingsTest.GOOD) }
        assertEquals(0, run("check-config", good.path).code)
        val script = File(dir, "tune.lua").also { it.writeText("tuning.headroom = 99") }
        val refused = run("check-config", "--script", script.path, good.path)
        assertEquals(1, refused.code)
        assertTrue(refused.err.contains("tuning.headroom"))
        val bad = File(dir, "bad.toml").also { it.writeText(SettingsTest.GOOD.replace("lease_s = 14.0", "")) }
        assertTrue(run("check-config", bad.path).err.contains("settings.workers.lease_s"))
    }

    @Test
    fun `explain adds up what a log tells`() {
        val log =
            File(dir, "log").also {
                it.writeText(
                    """
                        1.0 n0 INFO Leadership - elected token=1 revision=1
                        2.0 n0 DEBUG CoreLoop - place task=run-1/0 attempt=1 class=scan machine=i-1 cached=false waited=1s
                        3.0 n0 DEBUG CoreLoop - stop task=run-1/0 attempt=1 machine=i-1 reason=PREEMPTED grace=0s
                        4.0 n0 DEBUG CoreLoop - off task=run-1/0 attempt=1 machine=i-1 was=RUNNING
                        9.5 n0 DEBUG CoreLoop - place task=run-1/0 attempt=2 class=scan machine=i-2 cached=true waited=8.5s
                        12.0 n1 INFO Leadership - elected token=2 revision=9
                        13.0 n1 INFO CoreLoop - give-up machine=i-2 reason=silent tasks=1 heard=null now=1s
                        14.0 n1 DEBUG CoreLoop - ready task=run-2 class=label held-s=3.5
                        14.5 n1 DEBUG CoreLoop - ready task=run-3 class=label held-s=4.5
                        15.0 n1 DEBUG CoreLoop - cut task=run-4 class=label by=run-1
                    not a log line
                    """.trimIndent(),
                )
            }
        val r = log.useLines { Explain.read(it) }
        val scan = r.classes.getValue("scan")
        assertEquals(listOf(2, 1, 1), listOf(scan.places, scan.uncached, scan.again))
        assertEquals(5.5, scan.away, 1e-9)
        assertEquals(mapOf("PREEMPTED" to 1), scan.stops)
        assertEquals(mapOf("silent" to 1), r.giveUps)
        assertEquals(2.5, r.leaderless, 1e-9)
        assertEquals(Triple(2, 8.0, 1), r.chains.getValue("label").let { Triple(it.ready, it.held, it.cut) })
        assertTrue(run("explain", log.path).out.contains("aborted with another"))
        assertTrue(run("explain", log.path).out.contains("scan"))
        assertEquals(2, run("explain").code)
    }

    @Test
    fun `job commands speak to a node and pass its answer on`() {
        val seen = ArrayList<String>()
        HttpListener(InetSocketAddress("127.0.0.1", 0), "node", 4, { r ->
            seen += "${r.method} ${r.uri.path}"
            if (r.uri.path == "/api/jobs") Cbor.decodeMap(r.body.stream.readAllBytes())
            if (r.uri.path.endsWith("nobody")) {
                cbor(Status.NOT_FOUND, mapOf("error" to "no such job"))
            } else {
                cbor(
                    Status.OK,
                    mapOf(
                        "stage" to "pending",
                    ),
                )
            }
        }).use { node ->
            val addr = "127.0.0.1:${node.port}"
            val file = File(dir, "job.json").also { it.writeText("""{"uid":"run-1"}""") }
            assertEquals("""{"stage":"pending"}""", run("job", "submit", "--node", addr, file.path).out.trim())
            assertEquals(0, run("job", "cancel", "--node", addr, "run-1").code)
            // The word of earlier versions.
            assertEquals(0, run("job", "withdraw", "--node", addr, "run-1").code)
            val unknown = run("job", "show", "--node", addr, "nobody")
            assertEquals(1, unknown.code)
            assertTrue(unknown.err.contains("404"))
        }
        val cancel = "POST /api/jobs/run-1/withdraw"
        assertEquals(listOf("POST /api/jobs", cancel, cancel, "GET /api/jobs/nobody"), seen)
    }
}
