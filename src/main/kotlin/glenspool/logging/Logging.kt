package glenspool.logging

import org.slf4j.Logger
import org.slf4j.Marker
import org.slf4j.event.Level
import org.slf4j.helpers.LegacyAbstractLogger
import org.slf4j.helpers.MessageFormatter

/**
 * Returns the logger of [type], named by its simple name. SLF4J's factory is not used because it searches for a
 * provider, and slf4j-simple is not used because it searches the class path for its configuration. Together they would
 * take 30 ms of processor time at the start of the process.
 */
fun loggerOf(type: Class<*>): Logger = StandardErrorLogger(type.simpleName, LogLevel.configured)

/** The log level that the environment variable `LOG_LEVEL` sets for the process. */
object LogLevel {
    private const val ENVIRONMENT_VARIABLE = "LOG_LEVEL"

    /** Read once, at the first use. */
    val configured: Level by lazy { parse(System.getenv(ENVIRONMENT_VARIABLE)) }

    /** Returns the level with the name [text] in any letter case, or [Level.INFO] if there is none. */
    fun parse(text: String?): Level {
        val level = Level.values().firstOrNull { it.name.equals(text, ignoreCase = true) }
        return level ?: Level.INFO
    }
}

/**
 * Writes messages of [threshold] and above to standard error, one line each: `LEVEL Name - text`, followed by the stack
 * trace if there is one.
 */
internal class StandardErrorLogger(loggerName: String, private val threshold: Level) : LegacyAbstractLogger() {
    init {
        name = loggerName
    }

    private fun isEnabled(level: Level) = level.toInt() >= threshold.toInt()

    override fun isTraceEnabled() = isEnabled(Level.TRACE)

    override fun isDebugEnabled() = isEnabled(Level.DEBUG)

    override fun isInfoEnabled() = isEnabled(Level.INFO)

    override fun isWarnEnabled() = isEnabled(Level.WARN)

    override fun isErrorEnabled() = isEnabled(Level.ERROR)

    override fun getFullyQualifiedCallerName(): String? = null

    override fun handleNormalizedLoggingCall(
        level: Level,
        marker: Marker?,
        pattern: String?,
        arguments: Array<out Any?>?,
        failure: Throwable?,
    ) {
        val text = MessageFormatter.basicArrayFormat(pattern, arguments)
        val stackTrace = failure?.let { System.lineSeparator() + it.stackTraceToString().trimEnd() }.orEmpty()
        // One call for the whole message, so that messages of several threads do not mix.
        System.err.println("$level $name - $text$stackTrace")
    }
}
