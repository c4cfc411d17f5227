package glenspool.simulation

import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** The exit code of a command, and what it printed. */
class CapturedRun private constructor(val code: Int, val out: String, val err: String) {
    companion object {
        /** Runs a command while the standard output and error of this process are captured. */
        fun of(command: () -> Int): CapturedRun {
            val out = ByteArrayOutputStream()
            val err = ByteArrayOutputStream()
            val originalOut = System.out
            val originalErr = System.err
            System.setOut(PrintStream(out))
            System.setErr(PrintStream(err))
            try {
                return CapturedRun(command(), out.toString(), err.toString())
            } finally {
                System.setOut(originalOut)
                System.setErr(originalErr)
            }
        }
    }
}
