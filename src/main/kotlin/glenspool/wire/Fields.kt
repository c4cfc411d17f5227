package glenspool.wire

import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * A decoded CBOR map by field name. The accessors below check the type and the range of a field and throw a
 * [MalformedMessage] that names the field if it does not fit. Unknown fields are ignored, so that newer peers may add
 * fields.
 */
typealias Fields = Map<String, Any?>

/**
 * Thrown if a message or stored value can't be decoded.
 *
 * @property field the field that has the [problem]; null if it concerns the message as a whole
 */
class MalformedMessage(val field: String?, val problem: String) : IOException(messageOf(field, problem)) {
    constructor(problem: String) : this(null, problem)
}

private fun messageOf(field: String?, problem: String) = if (field == null) problem else "$field: $problem"

/** A required string. */
fun Fields.text(name: String): String = this[name] as? String ?: throw MalformedMessage(name, "a text is needed")

/** A string; null if the field is absent or null. */
fun Fields.textOrNull(name: String): String? =
    when (val value = this[name]) {
        null -> null
        is String -> value
        else -> throw MalformedMessage(name, "a text or null is needed")
    }

/** A required number that is finite, not negative and at most [MAX_AMOUNT], such as a resource, size, price or time. */
fun Fields.amount(name: String): Double {
    val amount = (this[name] as? Number)?.toDouble() ?: throw MalformedMessage(name, "a number is needed")
    if (!amount.isFinite() || amount < 0.0 || amount > MAX_AMOUNT) throw MalformedMessage(name, "out of range")
    return amount
}

/** Same as [amount], but null if the field is absent or null. */
fun Fields.amountOrNull(name: String): Double? = if (this[name] == null) null else amount(name)

/**
 * A required whole number that is not negative, such as a count, version or token. Numbers above the range of Long are
 * rejected; the service itself never sends such numbers.
 */
fun Fields.count(name: String): Long = wholeNumber(name, this[name])

/** A required boolean. */
fun Fields.flag(name: String): Boolean {
    val flag = this[name]
    return flag as? Boolean ?: throw MalformedMessage(name, "true or false is needed")
}

/** A boolean; [default] if the field is absent, null or of another type. */
fun Fields.flagOr(name: String, default: Boolean): Boolean = this[name] as? Boolean ?: default

/** A required list of maps. */
@Suppress("UNCHECKED_CAST")
fun Fields.maps(name: String): List<Fields> {
    val list = this[name] as? List<*> ?: throw MalformedMessage(name, "a list is needed")
    if (list.any { it !is Map<*, *> }) throw MalformedMessage(name, "a list of maps is needed")
    return list as List<Fields>
}

/** A list of strings; null if the field is absent or null. */
fun Fields.textsOrNull(name: String): List<String>? {
    val list = this[name] ?: return null
    if (list !is List<*>) throw MalformedMessage(name, "a list is needed")
    return list.map { it as? String ?: throw MalformedMessage(name, "a list of texts is needed") }
}

/** A required map. */
@Suppress("UNCHECKED_CAST")
internal fun Fields.nested(name: String): Fields {
    val fields = this[name]
    return fields as? Fields ?: throw MalformedMessage(name, "a map is needed")
}

/** A map; null if the field is absent or null. */
@Suppress("UNCHECKED_CAST")
internal fun Fields.nestedOrNull(name: String): Fields? =
    when (val value = this[name]) {
        null -> null
        is Map<*, *> -> value as Fields
        else -> throw MalformedMessage(name, "a map or null is needed")
    }

/** A required duration, given in seconds. */
internal fun Fields.duration(name: String): Duration = amount(name).seconds

internal fun Duration.toSeconds(): Double = toDouble(DurationUnit.SECONDS)

/** Returns the value that the protocol's [word] in the field [name] stands for. */
internal fun <T> Map<String, T>.decodeWord(name: String, word: String): T {
    val value = this[word]
    return value ?: throw MalformedMessage(name, "unknown value")
}

/** Returns the [value] of the field [name], or of an element in it, as a whole number that is not negative. */
internal fun wholeNumber(name: String, value: Any?): Long {
    if (value is Long && value >= 0) return value
    throw MalformedMessage(name, "a whole number is needed")
}

/** Same as [wholeNumber], but only numbers below [bound] are allowed. */
internal fun boundedNumber(name: String, value: Any?, bound: Long): Int {
    val number = wholeNumber(name, value)
    if (number >= bound) throw MalformedMessage(name, "out of range")
    return number.toInt()
}

private const val MAX_AMOUNT = 1e12
