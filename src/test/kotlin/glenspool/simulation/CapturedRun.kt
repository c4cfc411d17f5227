package glenspool.simulation

import java.io.ByteArrayOutputStream
import java.io.PrintStream

/** What a command returned and printed. */
class CapturedRun private constructor(val code: Int, val out: String, val err: String) {
    companion object {
        fun of(command: () -> Int): CapturedRun {
            val out = ByteArrayOutputStream()
            val err = ByteArrayOutputStream()
            val before = System.out to System.err
            System.setOut(PrintStream(out))
            System.setErr(PrintStream(err))
            try {
                return CapturedRun(command(), out.toString(), err.toString())
            } finally {
                System.setOut(before.first)
                System.setErr(before.second)
            }
        }
    }
}
