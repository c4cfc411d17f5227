package glenspool.config

import com.fasterxml.jackson.databind.JsonNode
import glenspool.rollout.ActivationMode
import glenspool.rollout.FencedReaction
import glenspool.rollout.HealthLimits
import glenspool.rollout.RolloutPolicy
import java.io.File
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Reads the file that switches managed rollouts on. Unlike the platform's file it is ours, so unknown names are faults. */
class RolloutSettingsReader {
    private val problems = mutableListOf<String>()

    fun read(file: File): RolloutPolicy {
        val root = try {
            TomlTree.read(file)
        } catch (e: IOException) {
            throw SettingsError(listOf("${file.path}: ${e.message}"))
        }
        val policy = policy(root)
        if (problems.isNotEmpty()) throw SettingsError(problems.map { "${file.path}: $it" })
        return policy
    }

    private fun policy(root: JsonNode): RolloutPolicy {
        val default = RolloutPolicy()
        refuseUnknown(root, "", setOf("mode", "fenced", "settle_s", "evidence_s", "left_behind_s", "health"))
        val policy = RolloutPolicy(
            mode = word(root, "mode", default.mode, ActivationMode.entries),
            fenced = word(root, "fenced", default.fenced, FencedReaction.entries),
            settle = span(root, "settle_s", "", default.settle),
            evidenceAge = span(root, "evidence_s", "", default.evidenceAge, MIN_EVIDENCE_S),
            leftBehindAfter = span(root, "left_behind_s", "", default.leftBehindAfter),
            health = health(root.path("health"), default.health),
        )
        return policy
    }

    private fun health(node: JsonNode, default: HealthLimits): HealthLimits {
        if (node.isMissingNode) return default
        if (!node.isObject) {
            problems += "health: a table is needed"
            return default
        }
        refuseUnknown(node, "health.", setOf("window_s", "tolerated", "factor"))
        return HealthLimits(
            window = span(node, "window_s", "health.", default.window),
            tolerated = number(node, "tolerated", "health.", default.tolerated.toDouble(), 0.0).toLong(),
            factor = number(node, "factor", "health.", default.factor, 1.0),
        )
    }

    private fun refuseUnknown(node: JsonNode, path: String, known: Set<String>) {
        node.fieldNames().forEach { if (it !in known) problems += "$path$it: unknown; one of ${known.sorted().joinToString(", ")} is possible" }
    }

    private fun <T : Enum<T>> word(node: JsonNode, name: String, default: T, values: List<T>): T {
        val value = node.path(name)
        if (value.isMissingNode) return default
        val found = values.firstOrNull { value.isTextual && it.name.lowercase() == value.asText() }
        if (found == null) problems += "$name: one of ${values.joinToString(", ") { it.name.lowercase() }} is needed"
        return found ?: default
    }

    private fun span(node: JsonNode, name: String, path: String, default: Duration, min: Double = 0.0): Duration =
        number(node, name, path, default.inWholeMilliseconds / MILLISECONDS, min).seconds

    private fun number(node: JsonNode, name: String, path: String, default: Double, min: Double): Double {
        val value = node.path(name)
        if (value.isMissingNode) return default
        val number = value.asDouble(Double.NaN)
        if (!value.isNumber || !number.isFinite() || number < min) {
            problems += "$path$name: a number of $min or more is needed"
            return default
        }
        return number
    }

    private companion object {
        const val MILLISECONDS = 1000.0

        /** Members are asked every two seconds: evidence must outlive an answer that was lost. */
        const val MIN_EVIDENCE_S = 5.0
    }
}
