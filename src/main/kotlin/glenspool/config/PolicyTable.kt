package glenspool.config

import com.fasterxml.jackson.databind.JsonNode
import java.io.File
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A table of a policy file, which is optional and enables a subsystem. Every value has a default. The file format is
 * defined by this project alone, so unknown names are errors. Each error is added to [problems] with its path, and the
 * default is returned instead of an invalid value.
 */
internal class PolicyTable(
    private val node: JsonNode,
    private val path: String,
    private val problems: MutableList<String>,
) {
    /** Adds an error to [problems] for each name in this table that is not in [known]. */
    fun reportUnknownNames(vararg known: String) {
        for (name in node.fieldNames()) {
            if (name !in known) report(name, "unknown; one of ${known.sorted().joinToString(", ")} is possible")
        }
    }

    /** Returns the table [name], or null if it is missing or is not a table. */
    fun table(name: String): PolicyTable? {
        val child = node.path(name)
        if (child.isMissingNode) return null
        if (child.isObject) return PolicyTable(child, "$path$name.", problems)
        report(name, "a table is needed")
        return null
    }

    /** Reads one of [values], which the file names in lower case. */
    fun <T : Enum<T>> choice(name: String, default: T, values: List<T>): T {
        val value = node.path(name)
        if (value.isMissingNode) return default
        val found = values.firstOrNull { value.isTextual && it.name.lowercase() == value.asText() }
        if (found == null) report(name, "one of ${values.joinToString(", ") { it.name.lowercase() }} is needed")
        return found ?: default
    }

    /** Reads a duration of at least [minSeconds], which the file gives in seconds. */
    fun duration(name: String, default: Duration, minSeconds: Double = 0.0): Duration =
        number(name, default.toDouble(DurationUnit.SECONDS), minSeconds).seconds

    fun number(name: String, default: Double, min: Double, max: Double = Double.MAX_VALUE): Double {
        val value = node.path(name)
        if (value.isMissingNode) return default
        val number = value.asDouble(Double.NaN)
        if (value.isNumber && number.isFinite() && number in min..max) return number
        val allowed = if (max < Double.MAX_VALUE) "from $min to $max" else "of $min or more"
        report(name, "a number $allowed is needed")
        return default
    }

    private fun report(name: String, problem: String) {
        problems += "$path$name: $problem"
    }

    companion object {
        /**
         * Converts the file's root table with [convert].
         *
         * @throws SettingsError if the file can't be read or contains an invalid value
         */
        fun <T> read(file: File, convert: (PolicyTable) -> T): T {
            val problems = mutableListOf<String>()
            val result = convert(PolicyTable(TomlTree.read(file), "", problems))
            if (problems.isNotEmpty()) throw SettingsError(problems.map { "${file.path}: $it" })
            return result
        }
    }
}
