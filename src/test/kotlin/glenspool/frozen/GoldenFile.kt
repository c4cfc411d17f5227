package glenspool.frozen

import org.junit.jupiter.api.Assertions.assertEquals
import java.io.File

/**
 * A file of named lines that a test compares with the current output of the code. With `-Dglenspool.record=true` the
 * file is written instead, which is the way to change it intentionally; see CONTRIBUTING.md.
 */
class GoldenFile(private val name: String) {
    fun check(actual: Map<String, String>) {
        if (System.getProperty(RECORD_PROPERTY) == "true") {
            File(GOLDEN_FILE_DIRECTORY, name)
                .apply { parentFile.mkdirs() }
                .writeText(actual.entries.joinToString("") { (key, value) -> "$key\t$value\n" })
            return
        }
        assertEquals(recorded().keys.sorted(), actual.keys.sorted(), "the entries of $name")
        for ((key, value) in recorded()) assertEquals(value, actual[key], "$key in $name")
    }

    private fun recorded(): Map<String, String> {
        val resource =
            checkNotNull(javaClass.getResourceAsStream("/frozen/$name")) {
                "golden file $name has not been recorded; see CONTRIBUTING.md"
            }
        return resource.bufferedReader().useLines { lines ->
            lines.associate { it.substringBefore('\t') to it.substringAfter('\t') }
        }
    }

    private companion object {
        const val RECORD_PROPERTY = "glenspool.record"
        const val GOLDEN_FILE_DIRECTORY = "src/test/resources/frozen"
    }
}
