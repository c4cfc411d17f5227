package glenspool.logging

import org.slf4j.Logger
import org.slf4j.Marker
import org.slf4j.event.Level
import org.slf4j.helpers.LegacyAbstractLogger
import org.slf4j.helpers.MessageFormatter

/**
 * The logger of a class. SLF4J's own factory searches for a provider and formats a message about it, and slf4j-simple
 * then searches the class path for its settings: together 30 ms of processor time before a controller has done
 * anything.
 */
fun loggerOf(type: Class<*>): Logger = StandardErrorLogger(type.simpleName, LogLevel.configured)

/** The level that the environment asks for. */
object LogLevel {
    private const val VARIABLE = "LOG_LEVEL"

    /** Read once; what is not a level counts as [Level.INFO]. */
    val configured: Level by lazy { parse(System.getenv(VARIABLE)) }

    fun parse(text: String?): Level = Level.values().firstOrNull { it.name.equals(text, ignoreCase = true) } ?: Level.INFO
}

/** Writes one line a message to standard error, `LEVEL Name - text`, and a stack trace after it if there is one. */
internal class StandardErrorLogger(logName: String, private val least: Level) : LegacyAbstractLogger() {
    init {
        name = logName
    }

    private fun enabled(level: Level) = level.toInt() >= least.toInt()

    override fun isTraceEnabled() = enabled(Level.TRACE)

    override fun isDebugEnabled() = enabled(Level.DEBUG)

    override fun isInfoEnabled() = enabled(Level.INFO)

    override fun isWarnEnabled() = enabled(Level.WARN)

    override fun isErrorEnabled() = enabled(Level.ERROR)

    override fun getFullyQualifiedCallerName(): String? = null

    override fun handleNormalizedLoggingCall(
        level: Level,
        marker: Marker?,
        pattern: String?,
        arguments: Array<out Any?>?,
        failure: Throwable?,
    ) {
        val text = MessageFormatter.basicArrayFormat(pattern, arguments)
        // One call for the whole line, so that lines of several threads do not mix.
        val line =
            "$level $name - $text" + (failure?.let { System.lineSeparator() + it.stackTraceToString().trimEnd() } ?: "")
        System.err.println(line)
    }
}
