package glenspool.logging

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.slf4j.Logger
import org.slf4j.event.Level
import java.io.ByteArrayOutputStream
import java.io.PrintStream

class LoggingTest {
    /** Returns the lines that [log] writes to standard error at [threshold]. */
    private fun linesOf(threshold: Level, log: (Logger) -> Unit): List<String> {
        val captured = ByteArrayOutputStream()
        val original = System.err
        System.setErr(PrintStream(captured))
        try {
            log(StandardErrorLogger("Name", threshold))
        } finally {
            System.setErr(original)
        }
        return captured.toString().lines().filter { it.isNotEmpty() }
    }

    @Test
    fun `a line contains level, logger name and values, and messages below the threshold are not written`() {
        val lines =
            linesOf(Level.INFO) {
                it.debug("hidden {}", 1)
                it.info("shown a={} b={}", 1, null)
                it.warn("{} {} {}", 1, 2, 3)
                it.error("failed {}", "here", IllegalStateException("cause"))
            }
        val expected =
            listOf(
                "INFO Name - shown a=1 b=null",
                "WARN Name - 1 2 3",
                "ERROR Name - failed here",
                "java.lang.IllegalStateException: cause",
            )
        assertEquals(expected, lines.take(4))
        assertEquals(listOf("DEBUG Name - now"), linesOf(Level.DEBUG) { it.debug("now") })
    }

    @Test
    fun `a level name is parsed in any letter case, and an unknown or missing name means INFO`() {
        val parsed = listOf("error", "DEBUG", null, "loud").map(LogLevel::parse)
        assertEquals(listOf(Level.ERROR, Level.DEBUG, Level.INFO, Level.INFO), parsed)
    }
}
