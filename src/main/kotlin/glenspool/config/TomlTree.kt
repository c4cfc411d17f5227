package glenspool.config

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ArrayNode
import com.fasterxml.jackson.databind.node.JsonNodeFactory
import com.fasterxml.jackson.databind.node.ObjectNode
import com.fasterxml.jackson.dataformat.toml.TomlFactory
import java.io.File
import java.io.IOException

/**
 * Reads a TOML file into a tree with Jackson's streaming parser. Jackson's `TomlMapper` does the same with one call,
 * but takes 70 ms of processor time to initialise object mapping, which is not needed here. On a twentieth of a core
 * that would add more than a second to each start.
 */
internal object TomlTree {
    private val nodes = JsonNodeFactory.instance

    /** @throws SettingsError if the file can't be read or is not TOML */
    fun read(file: File): JsonNode =
        try {
            TomlFactory().createParser(file).use { parser ->
                if (parser.nextToken() != JsonToken.START_OBJECT) throw IOException("not a table")
                table(parser)
            }
        } catch (e: IOException) {
            throw SettingsError(listOf("${file.path}: ${e.message}"))
        }

    private fun table(parser: JsonParser): ObjectNode {
        val node = nodes.objectNode()
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            val name = parser.currentName()
            parser.nextToken()
            node.set<JsonNode>(name, value(parser))
        }
        return node
    }

    private fun array(parser: JsonParser): ArrayNode {
        val node = nodes.arrayNode()
        while (parser.nextToken() != JsonToken.END_ARRAY) node.add(value(parser))
        return node
    }

    private fun value(parser: JsonParser): JsonNode =
        when (parser.currentToken()) {
            JsonToken.START_OBJECT -> table(parser)
            JsonToken.START_ARRAY -> array(parser)
            JsonToken.VALUE_STRING -> nodes.textNode(parser.text)
            JsonToken.VALUE_NUMBER_INT -> nodes.numberNode(parser.longValue)
            JsonToken.VALUE_NUMBER_FLOAT -> nodes.numberNode(parser.doubleValue)
            JsonToken.VALUE_TRUE -> nodes.booleanNode(true)
            JsonToken.VALUE_FALSE -> nodes.booleanNode(false)
            // A date or time. No setting has such a value, and the readers check the type of each value that they use.
            JsonToken.VALUE_EMBEDDED_OBJECT -> nodes.pojoNode(parser.embeddedObject)
            else -> nodes.nullNode()
        }
}
