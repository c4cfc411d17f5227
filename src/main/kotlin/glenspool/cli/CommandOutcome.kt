package glenspool.cli

/** The exit codes of the process. */
internal object ExitCode {
    const val OK = 0

    /** The command could not be carried out, or was refused. */
    const val FAILED = 1

    /** The command line was wrong. */
    const val USAGE = 2

    /** A controller that can't go on, such as one without memory; the platform restarts it. */
    const val FATAL_ERROR = 70
}

/** The command line was wrong; the message says what is needed. */
class UsageError(message: String) : Exception(message)

/** Reports on standard error why a command failed, and returns the exit code for it. */
internal fun reportFailure(reason: String, retryAfterSeconds: Int? = null): Int {
    val retry = retryAfterSeconds?.let { "; try again in $it s" }.orEmpty()
    System.err.println("glenspool: $reason$retry")
    return ExitCode.FAILED
}
