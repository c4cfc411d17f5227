package glenspool.layout

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File

/**
 * Checks that everything to which the documentation refers exists: tests by class and function, files by link, and
 * other pages by name.
 */
class DocumentationTest {
    private val pages: List<File> =
        listOf(File("README.md"), File("CONTRIBUTING.md")) +
            File("docs").listFiles { file -> file.extension == "md" }.orEmpty().sorted()

    /** The names of the test functions of each test class. */
    private val functionsOfTests: Map<String, List<String>> =
        File("src/test/kotlin")
            .walkTopDown()
            .filter { it.name.endsWith("Test.kt") }
            .associate { file -> file.nameWithoutExtension to functionNames(file.readText()) }

    @Test
    fun `every test that the documentation names exists`() {
        // experiments.md records past work and keeps the names that were valid at that time.
        val checked = pages.filter { it.name != "experiments.md" }
        val safety = checked.single { it.name == "safety.md" }
        assertTrue(testReferences(safety.readText()).size > 100, "the guards of safety.md name their tests")
        assertTrue(checked.any { it.name == "architecture.md" })

        val missing =
            checked.flatMap { page ->
                testReferences(page.readText()).filterNot(::exists).map { "${page.path}: $it" }
            }

        assertEquals(emptyList<String>(), missing)
    }

    @Test
    fun `every relative link and every page named in the documentation leads to a file`() {
        val missing =
            pages.flatMap { page ->
                val links = linkTargets(page.readText()).filterNot { page.absoluteFile.resolveSibling(it).exists() }
                val named = namedPages(page.readText()).filterNot { File(it).exists() }
                (links + named).map { "${page.path}: $it" }
            }

        assertEquals(emptyList<String>(), missing)
    }

    @Test
    fun `the check finds a missing class, a missing function and a missing file`() {
        val text =
            """
            | guard | `LayersTest.imports point…`, `the core, the rollout…`, `nothing of that…` |
            | other | `NoSuchTest`, `LayersTest.imports point outward` |

            See [the layers](src/LayersTest.kt#top), [a site](https://example.org/a), docs/nowhere.md; `elsewhere…`.
            """.trimIndent()

        val missing = testReferences(text).filterNot(::exists).map { it.toString() }

        val expected = listOf("LayersTest.nothing of that…", "NoSuchTest", "LayersTest.imports point outward")
        assertEquals(expected, missing)
        assertEquals(listOf("src/LayersTest.kt"), linkTargets(text))
        assertEquals(listOf("docs/nowhere.md"), namedPages(text))
    }

    /** A test as a page names it: a class, optionally with a function or the beginning of its name, closed by `…`. */
    private data class TestReference(val testClass: String, val function: String?) {
        override fun toString() = if (function == null) testClass else "$testClass.$function"
    }

    private fun exists(reference: TestReference): Boolean {
        val functions = functionsOfTests[reference.testClass] ?: return false
        val expectedName = reference.function ?: return true
        val isPrefix = expectedName.endsWith(ELLIPSIS)
        return functions.any {
            if (isPrefix) it.startsWith(expectedName.removeSuffix(ELLIPSIS)) else it == expectedName
        }
    }

    /**
     * Returns the tests that the text names. The beginning of a name without a class, such as the second one in
     * `FirstTest.one…`, `another…`, belongs to the class before it.
     */
    private fun testReferences(text: String): List<TestReference> =
        blocks(text).flatMap { block ->
            var testClass: String? = null
            code.findAll(block).mapNotNull { match ->
                val quoted = match.groupValues[1]
                val named = qualified.matchEntire(quoted)
                if (named != null) testClass = named.groupValues[1]
                when {
                    named != null -> TestReference(named.groupValues[1], named.groupValues[2].ifEmpty { null })
                    quoted.endsWith(ELLIPSIS) -> testClass?.let { TestReference(it, quoted) }
                    else -> null
                }
            }
        }

    /** Returns the paragraphs, list items and table rows of the text, each on one line. */
    private fun blocks(text: String): List<String> {
        val blocks = ArrayList<String>()
        var mayContinue = false
        for (line in text.lines().map(String::trim)) {
            if (mayContinue && line.isNotEmpty() && blockStarts.none(line::startsWith)) {
                blocks[blocks.lastIndex] = "${blocks.last()} $line"
            } else {
                blocks.add(line)
            }
            mayContinue = line.isNotEmpty() && !line.startsWith("|") && !line.startsWith("#")
        }
        return blocks
    }

    private fun functionNames(source: String) = functionName.findAll(source).map { it.groupValues[1] }.toList()

    private fun linkTargets(text: String): List<String> =
        link
            .findAll(text)
            .map { it.groupValues[1] }
            .filterNot { "://" in it || it.startsWith("mailto:") }
            .toList()

    private fun namedPages(text: String): List<String> =
        namedPage
            .findAll(text)
            .map { it.groupValues[1] }
            .distinct()
            .toList()

    private companion object {
        const val ELLIPSIS = "…"
        val blockStarts = listOf("|", "* ", "- ", "#")
        val code = Regex("`([^`]+)`")
        val qualified = Regex("([A-Z]\\w*Test)(?:\\.(.+))?")
        val functionName = Regex("fun `([^`]+)`")
        val link = Regex("]\\(([^)#\\s]+)(?:#[^)]*)?\\)")

        /** A page named by its path from the root, such as docs/limits.md, but not within a longer path or a link. */
        val namedPage = Regex("(?<![\\w/.(])(docs/[\\w-]+(?:/[\\w-]+)*\\.md)")
    }
}
