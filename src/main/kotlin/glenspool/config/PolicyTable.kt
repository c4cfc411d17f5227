package glenspool.config

import com.fasterxml.jackson.databind.JsonNode
import java.io.File
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A table of one of the files that switch a subsystem on. They are ours, so unknown names are faults. All faults are
 * gathered.
 */
internal class PolicyTable(
    private val node: JsonNode,
    private val path: String,
    private val problems: MutableList<String>,
) {
    fun refuseUnknown(vararg known: String) {
        node.fieldNames().forEach {
            if (it !in
                known
            ) {
                problems += "$path$it: unknown; one of ${known.sorted().joinToString(", ")} is possible"
            }
        }
    }

    /** A table below this one; null if it is absent. */
    fun table(name: String): PolicyTable? {
        val child = node.path(name)
        if (child.isMissingNode) return null
        if (child.isObject) return PolicyTable(child, "$path$name.", problems)
        problems += "$path$name: a table is needed"
        return null
    }

    fun <T : Enum<T>> word(name: String, default: T, values: List<T>): T {
        val value = node.path(name)
        if (value.isMissingNode) return default
        val found = values.firstOrNull { value.isTextual && it.name.lowercase() == value.asText() }
        if (found ==
            null
        ) {
            problems += "$path$name: one of ${values.joinToString(", ") { it.name.lowercase() }} is needed"
        }
        return found ?: default
    }

    /** A time in seconds. */
    fun span(name: String, default: Duration, min: Double = 0.0): Duration = number(name, default.toDouble(DurationUnit.SECONDS), min).seconds

    fun number(name: String, default: Double, min: Double, max: Double = Double.MAX_VALUE): Double {
        val value = node.path(name)
        if (value.isMissingNode) return default
        val number = value.asDouble(Double.NaN)
        if (value.isNumber && number.isFinite() && number in min..max) return number
        problems +=
            "$path$name: a number ${if (max < Double.MAX_VALUE) "from $min to $max" else "of $min or more"} is needed"
        return default
    }

    companion object {
        /** Reads a file with [body]; throws [SettingsError] if anything in it can't be used. */
        fun <T> read(file: File, body: (PolicyTable) -> T): T {
            val root =
                try {
                    TomlTree.read(file)
                } catch (e: IOException) {
                    throw SettingsError(listOf("${file.path}: ${e.message}"))
                }
            val problems = mutableListOf<String>()
            val result = body(PolicyTable(root, "", problems))
            if (problems.isNotEmpty()) throw SettingsError(problems.map { "${file.path}: $it" })
            return result
        }
    }
}
