package glenspool.layout

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File

/**
 * Checks that dependencies between packages point inward, and that field names of the external formats are used only in
 * `wire`.
 */
class LayersTest {
    private val root = File("src/main/kotlin/glenspool")
    private val files = root.walkTopDown().filter { it.extension == "kt" }.toList()

    /** The packages of this project that each package may import. Packages without an entry may import all. */
    private val allowedImports =
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
            "api" to setOf("config", "core", "http", "peer", "rollout", "state", "wire", "api", "logging"),
            "controller" to
                setOf(
                    "api", "cloud", "config", "controller", "core", "http", "logging", "peer", "reconcile", "rollout",
                    "state", "wire", "worker",
                ),
        )

    /** Packages that receive events and the time as input, and return decisions. */
    private val purePackages = setOf("core", "reconcile", "rollout")

    /** Substrings of imports that indicate input, output, logging, threads or the time of day. */
    private val impureImports =
        listOf(
            "java.io", "java.net", "java.util.concurrent", "java.time.Instant", "org.http4k", "org.slf4j",
            "com.fasterxml", "Thread",
        )

    private val externalNames =
        listOf(
            "threads?", "crew", "weave", "urgency", "pattern", "frames?", "halls?", "loaners", "spindles?", "stitch",
            "baton", "recall_s", "wind_down_s", "hire", "tenure", "ledger", "guards", "foreman", "knot_s", "awaits",
            "aborted_with",
        )

    private fun packageOf(file: File) = file.relativeTo(root).path.substringBefore('/')

    private fun importsOf(file: File) = file.readLines().filter { it.startsWith("import ") }

    @Test
    fun `imports point inward`() {
        assertTrue(files.size > 20)
        val violations =
            files.flatMap { file ->
                val allowed = allowedImports[packageOf(file)] ?: return@flatMap emptyList()
                importsOf(file)
                    .filter { it.startsWith(OWN_IMPORT) }
                    .filter { it.removePrefix(OWN_IMPORT).substringBefore('.') !in allowed }
                    .map { "${file.name}: $it" }
            }
        assertEquals(emptyList<String>(), violations)
    }

    @Test
    fun `the core, the rollout and the recovery do no input or output and start no thread`() {
        val violations =
            files.filter { packageOf(it) in purePackages }.flatMap { file ->
                importsOf(file)
                    .filter { line -> impureImports.any { it in line } }
                    .map { "${file.name}: $it" }
            }
        assertEquals(emptyList<String>(), violations)
    }

    @Test
    fun `field names of external formats are used in wire alone`() {
        val externalName = Regex("\"(${externalNames.joinToString("|")})\"")
        val violations =
            files
                .filter { packageOf(it) != "wire" && it.name != "ClassLoadingRun.kt" }
                .flatMap { file ->
                    file.readLines().filter { externalName.containsMatchIn(it) }.map { "${file.name}: $it" }
                }
        assertEquals(emptyList<String>(), violations)
    }

    private companion object {
        const val OWN_IMPORT = "import glenspool."
    }
}
