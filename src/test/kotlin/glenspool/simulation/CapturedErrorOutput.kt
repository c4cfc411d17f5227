package glenspool.simulation

import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** Returns the lines that are written to standard error, such as log lines, while [body] runs. */
fun linesOfStandardError(body: () -> Unit): List<String> {
    val captured = ByteArrayOutputStream()
    val original = System.err
    System.setErr(PrintStream(captured, true))
    try {
        body()
    } finally {
        System.setErr(original)
    }
    return captured.toString().lines().filter { it.isNotEmpty() }
}
