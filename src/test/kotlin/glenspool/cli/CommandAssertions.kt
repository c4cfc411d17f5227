package glenspool.cli

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import glenspool.simulation.CapturedRun
import org.junit.jupiter.api.Assertions.assertTrue

/** Parses the command's standard output as JSON. */
internal fun CapturedRun.json(): JsonNode = ObjectMapper().readTree(out)

internal fun assertContainsAll(text: String, parts: List<String>) =
    parts.forEach { assertTrue(it in text, "$it in $text") }
