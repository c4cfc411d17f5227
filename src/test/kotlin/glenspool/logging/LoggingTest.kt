package glenspool.logging

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.slf4j.event.Level
import java.io.ByteArrayOutputStream
import java.io.PrintStream

class LoggingTest {
    private fun written(least: Level, write: (org.slf4j.Logger) -> Unit): List<String> {
        val out = ByteArrayOutputStream()
        val before = System.err
        System.setErr(PrintStream(out))
        try {
            write(StandardErrorLogger("Name", least))
        } finally {
            System.setErr(before)
        }
        return out.toString().lines().filter { it.isNotEmpty() }
    }

    @Test
    fun `a line has its level, its name and its values, and those below the level are left out`() {
        val lines =
            written(Level.INFO) {
                it.debug("hidden {}", 1)
                it.info("shown a={} b={}", 1, null)
                it.warn("{} {} {}", 1, 2, 3)
                it.error("failed {}", "here", IllegalStateException("cause"))
            }
        assertEquals(
            listOf("INFO Name - shown a=1 b=null", "WARN Name - 1 2 3", "ERROR Name - failed here", "java.lang.IllegalStateException: cause"),
            lines
                .take(4),
        )
        assertEquals(listOf("DEBUG Name - now"), written(Level.DEBUG) { it.debug("now") })
    }

    @Test
    fun `the level is read from its name, and what is none counts as info`() {
        assertEquals(
            listOf(Level.ERROR, Level.DEBUG, Level.INFO, Level.INFO),
            listOf("error", "DEBUG", null, "loud")
                .map(LogLevel::parse),
        )
    }
}
