package glenspool.wire

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A decoded map, by field name. It stays inside this package and the adapters that read it. */
typealias Fields = Map<String, Any?>

fun Fields.text(name: String): String = this[name] as? String ?: throw MalformedMessage("$name: a text is needed")

fun Fields.textOrNull(name: String): String? =
    when (val v = this[name]) {
        null -> null
        is String -> v
        else -> throw MalformedMessage("$name: a text or null is needed")
    }

fun Fields.amount(name: String): Double {
    val d = (this[name] as? Number)?.toDouble() ?: throw MalformedMessage("$name: a number is needed")
    if (!d.isFinite() || d < 0.0 || d > MAX_AMOUNT) throw MalformedMessage("$name: out of range")
    return d
}

fun Fields.amountOrNull(name: String): Double? = if (this[name] == null) null else amount(name)

/** Counts, versions and tokens. Those above Long's range never occur in the service's own numbers. */
fun Fields.count(name: String): Long {
    val v = this[name]
    if (v is Long && v >= 0) return v
    throw MalformedMessage("$name: a whole number is needed")
}

fun Fields.flag(name: String): Boolean = this[name] as? Boolean ?: throw MalformedMessage("$name: true or false is needed")

fun Fields.flagOr(name: String, default: Boolean): Boolean = this[name] as? Boolean ?: default

@Suppress("UNCHECKED_CAST")
fun Fields.maps(name: String): List<Fields> {
    val l = this[name] as? List<*> ?: throw MalformedMessage("$name: a list is needed")
    if (l.any { it !is Map<*, *> }) throw MalformedMessage("$name: a list of maps is needed")
    return l as List<Fields>
}

fun Fields.textsOrNull(name: String): List<String>? {
    val l = this[name] ?: return null
    if (l !is List<*>) throw MalformedMessage("$name: a list is needed")
    return l.map { it as? String ?: throw MalformedMessage("$name: a list of texts is needed") }
}

private const val MAX_AMOUNT = 1e12

internal fun Fields.duration(name: String): Duration = amount(name).seconds

internal fun Duration.toSeconds(): Double = toDouble(DurationUnit.SECONDS)

/** The value that a word stands for. */
internal fun <T> Map<String, T>.pick(name: String, value: String): T = this[value] ?: throw MalformedMessage("$name: unknown value")
