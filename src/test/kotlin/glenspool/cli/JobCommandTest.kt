package glenspool.cli

import glenspool.http.HttpListener
import glenspool.http.cborResponse
import glenspool.simulation.CapturedRun
import glenspool.wire.Cbor
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File
import java.net.InetSocketAddress

class JobCommandTest {
    @TempDir
    lateinit var dir: File
    private val requests = ArrayList<String>()
    private val listener = HttpListener(InetSocketAddress("127.0.0.1", 0), "node", 4, ::answer)
    private val node = "127.0.0.1:${listener.port}"

    @AfterEach
    fun close() = listener.close()

    /** Responds like a controller that has every job except `nobody`. */
    private fun answer(request: Request): Response {
        requests += "${request.method} ${request.uri.path}"
        if (request.uri.path == "/api/jobs") Cbor.decodeMap(request.body.stream.readAllBytes())
        return if (request.uri.path.endsWith("nobody")) {
            cborResponse(Status.NOT_FOUND, mapOf("error" to "no such job"))
        } else {
            cborResponse(Status.OK, mapOf("stage" to "pending"))
        }
    }

    private fun run(verb: String, argument: String) =
        CapturedRun.of { execute(listOf("job", verb, "--node", node, argument)) }

    @Test
    fun `a job is submitted from a JSON file and the controller's answer is printed`() {
        val file = File(dir, "job.json").also { it.writeText("""{"uid":"run-1"}""") }
        assertEquals("""{"stage":"pending"}""", run("submit", file.path).out.trim())
        assertEquals(listOf("POST /api/jobs"), requests)
    }

    @Test
    fun `cancel and its former name withdraw send the same request`() {
        assertEquals(0, run("cancel", "run-1").code)
        assertEquals(0, run("withdraw", "run-1").code)
        val cancel = "POST /api/jobs/run-1/withdraw"
        assertEquals(listOf(cancel, cancel), requests)
    }

    @Test
    fun `a rejected request is reported with its status and exit code 1`() {
        val rejected = run("show", "nobody")
        assertEquals(1, rejected.code)
        assertTrue(rejected.err.contains("404"))
        assertEquals(listOf("GET /api/jobs/nobody"), requests)
    }
}
