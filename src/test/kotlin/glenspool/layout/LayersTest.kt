package glenspool.layout

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File

/** Dependencies point inward, and the outside's odd names stay at the edge. */
class LayersTest {
    private val root = File("src/main/kotlin/glenspool")
    private val files = root.walkTopDown().filter { it.extension == "kt" }.toList()

    /** What each package may import of our own. */
    private val allowed =
        mapOf(
            "core" to setOf("core"),
            "reconcile" to setOf("core", "reconcile"),
            "rollout" to setOf("rollout"),
            "wire" to setOf("core", "reconcile", "rollout", "wire"),
            "config" to setOf("core", "reconcile", "rollout", "config"),
            "logging" to setOf("logging"),
            "http" to setOf("wire", "http", "logging"),
            "state" to setOf("core", "http", "rollout", "wire", "state", "logging"),
            "cloud" to setOf("core", "http", "wire", "cloud", "logging"),
            "worker" to setOf("core", "http", "wire", "worker", "logging"),
            "peer" to setOf("config", "http", "peer", "logging"),
        )

    private fun layer(f: File) = f.relativeTo(root).path.substringBefore('/')

    @Test
    fun `imports point inward`() {
        assertTrue(files.size > 20)
        val wrong =
            files.flatMap { f ->
                val may = allowed[layer(f)] ?: return@flatMap emptyList()
                f
                    .readLines()
                    .filter { it.startsWith("import glenspool.") }
                    .filter { it.removePrefix("import glenspool.").substringBefore('.') !in may }
                    .map { "${f.name}: $it" }
            }
        assertEquals(emptyList<String>(), wrong)
    }

    @Test
    fun `the core, the rollout and the recovery do no input or output and start no thread`() {
        val forbidden =
            listOf("java.io", "java.net", "java.util.concurrent", "java.time.Instant", "org.http4k", "org.slf4j", "com.fasterxml", "Thread")
        val wrong =
            files.filter { layer(it) in setOf("core", "reconcile", "rollout") }.flatMap { f ->
                f
                    .readLines()
                    .filter { l ->
                        l.startsWith("import ") && forbidden.any { it in l }
                    }.map { "${f.name}: $it" }
            }
        assertEquals(emptyList<String>(), wrong)
    }

    @Test
    fun `field names of the outside stand in wire alone`() {
        val names = "threads?|crew|weave|urgency|pattern|frames?|halls?|loaners|spindles?|stitch|baton|recall_s|wind_down_s|hire|tenure|ledger|guards|foreman|knot_s"
        val odd = Regex("\"($names|awaits|aborted_with)\"")
        val wrong =
            files
                .filter { layer(it) != "wire" && it.name != "ClassLoadingRun.kt" }
                .flatMap { f -> f.readLines().filter { odd.containsMatchIn(it) }.map { "${f.name}: $it" } }
        assertEquals(emptyList<String>(), wrong)
    }
}
