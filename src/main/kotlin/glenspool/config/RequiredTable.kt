package glenspool.config

import com.fasterxml.jackson.databind.JsonNode
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A table of the platform's settings file, whose values have no defaults. An error for each missing or invalid value is
 * added to [problems] with its path, and a placeholder is returned so that the rest of the file is read too. Only the
 * functions whose names begin with `optional` accept a missing or invalid value.
 */
internal class RequiredTable(
    private val node: JsonNode,
    private val path: String,
    private val problems: MutableList<String>,
) {
    fun report(name: String, problem: String) {
        problems += "$path$name: $problem"
    }

    /** Returns the table [name], or an empty one if it is missing, so that each of its required values is reported. */
    fun table(name: String) = RequiredTable(node.path(name), "$path$name.", problems)

    /** Returns the elements of the array of tables [name]; empty if the array is missing. */
    fun tables(name: String): List<RequiredTable> =
        node.path(name).mapIndexed { index, element -> RequiredTable(element, "$path$name[$index].", problems) }

    fun isTable(name: String): Boolean = node.path(name).isObject

    fun isMissing(name: String): Boolean = node.path(name).isMissingNode

    /** Whether [name] is missing or its value is null. */
    fun isMissingOrNull(name: String): Boolean = isMissing(name) || node.path(name).isNull

    fun text(name: String): String {
        val value = node.path(name)
        if (!value.isTextual || value.asText().isEmpty()) report(name, "a text is needed")
        return value.asText("")
    }

    /** Reads a finite number of at least [min]. */
    fun number(name: String, min: Double = ABOVE_ZERO): Double {
        val value = node.path(name)
        val number = value.asDouble(Double.NaN)
        if (value.isNumber && number.isFinite() && number >= min) return number
        report(name, "a number ${if (min == ABOVE_ZERO) "above 0" else "of $min or more"} is needed")
        return PLACEHOLDER_NUMBER
    }

    fun seconds(name: String): Duration = number(name).seconds

    /** Reads an address of the form `host:port` and resolves it. */
    fun address(name: String): InetSocketAddress {
        val value = node.path(name).asText("")
        val port = value.substringAfterLast(':', "").toIntOrNull()
        val host = value.substringBeforeLast(':', "")
        if (port == null || port !in PORTS || host.isEmpty()) {
            report(name, "an address of the form 10.0.0.1:8080 is needed")
            return InetSocketAddress.createUnresolved("invalid", 0)
        }
        return InetSocketAddress(host, port)
    }

    fun optionalText(name: String): String? = node.path(name).textValue()

    fun optionalTexts(name: String): List<String> = node.path(name).map { it.asText() }

    fun optionalNumber(name: String): Double = node.path(name).asDouble(0.0)

    fun optionalInt(name: String, default: Int): Int = node.path(name).asInt(default)

    fun optionalSeconds(name: String): Duration? {
        val value = node.path(name)
        return if (value.isNumber) value.asDouble().seconds else null
    }

    fun optionalMilliseconds(name: String): Duration = optionalNumber(name).milliseconds

    companion object {
        /** As a minimum, accepts any number above zero. */
        const val ABOVE_ZERO = Double.MIN_VALUE
        private const val PLACEHOLDER_NUMBER = 1.0
        private val PORTS = 0..65535
    }
}
