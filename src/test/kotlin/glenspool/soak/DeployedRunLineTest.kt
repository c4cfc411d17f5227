package glenspool.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test

/** Starts a JVM with the deployed options; the service itself is started with them by the soak. */
class DeployedRunLineTest {
    @Test
    fun `the JVM of this architecture knows every option of the run line`() {
        val (exitCode, output) = run(DeployedRunLine.jvm + "-version")
        assertEquals(0, exitCode, output)
    }

    @Test
    fun `a misspelt option ends the start with a message that names it`() {
        val (exitCode, output) = run(DeployedRunLine.jvm + listOf("-XX:+UseSerialGCC", "-version"))
        assertNotEquals(0, exitCode)
        assertEquals(true, "UseSerialGCC" in output, output)
    }

    private fun run(command: List<String>): Pair<Int, String> {
        val process = ProcessBuilder(command).redirectErrorStream(true).start()
        val output = process.inputStream.bufferedReader().readText()
        return process.waitFor() to output
    }
}
