package glenspool.cli

/** The exit codes of the process. */
internal object ExitCode {
    const val OK = 0

    /** The command failed or was rejected. */
    const val FAILED = 1

    /** The command line is invalid. */
    const val USAGE = 2

    /** A controller can't continue, for example because it is out of memory; the platform restarts it. */
    const val FATAL_ERROR = 70
}

/** The command line is invalid; the message says what is required. */
class UsageError(message: String) : Exception(message)

/** Prints to standard error why a command failed, and returns the exit code of a failed command. */
internal fun reportFailure(reason: String, retryAfterSeconds: Int? = null): Int {
    val retry = retryAfterSeconds?.let { "; try again in $it s" }.orEmpty()
    System.err.println("glenspool: $reason$retry")
    return ExitCode.FAILED
}
