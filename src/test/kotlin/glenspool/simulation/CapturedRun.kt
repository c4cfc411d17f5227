package glenspool.simulation

import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** The exit code and the output of a command that was run in this process. */
class CapturedRun private constructor(val code: Int, val out: String, val err: String) {
    companion object {
        /** Runs a command and captures the standard output and error of this process meanwhile. */
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
