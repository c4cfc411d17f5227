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
 * A TOML file as a tree, by Jackson's streaming interface. Its mapper does the same with one call, but takes 70 ms of
 * processor time to get ready for objects that nobody maps, and on a twentieth of a core that is more than a second of
 * each start.
 */
object TomlTree {
    private val nodes = JsonNodeFactory.instance

    fun read(file: File): JsonNode =
        TomlFactory().createParser(file).use { p ->
            if (p.nextToken() != JsonToken.START_OBJECT) throw IOException("not a table")
            table(p)
        }

    private fun table(p: JsonParser): ObjectNode {
        val node = nodes.objectNode()
        while (p.nextToken() == JsonToken.FIELD_NAME) {
            val name = p.currentName()
            p.nextToken()
            node.set<JsonNode>(name, value(p))
        }
        return node
    }

    private fun array(p: JsonParser): ArrayNode {
        val node = nodes.arrayNode()
        while (p.nextToken() != JsonToken.END_ARRAY) node.add(value(p))
        return node
    }

    private fun value(p: JsonParser): JsonNode =
        when (p.currentToken()) {
            JsonToken.START_OBJECT -> table(p)
            JsonToken.START_ARRAY -> array(p)
            JsonToken.VALUE_STRING -> nodes.textNode(p.text)
            JsonToken.VALUE_NUMBER_INT -> nodes.numberNode(p.longValue)
            JsonToken.VALUE_NUMBER_FLOAT -> nodes.numberNode(p.doubleValue)
            JsonToken.VALUE_TRUE -> nodes.booleanNode(true)
            JsonToken.VALUE_FALSE -> nodes.booleanNode(false)
            // Dates and the like: no setting has one, and each that is asked for is checked for what it is.
            JsonToken.VALUE_EMBEDDED_OBJECT -> nodes.pojoNode(p.embeddedObject)
            else -> nodes.nullNode()
        }
}
