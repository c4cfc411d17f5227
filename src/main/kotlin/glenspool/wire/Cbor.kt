package glenspool.wire

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.OutputStream
import java.math.BigInteger

/**
 * Converts plain maps to and from CBOR by Jackson's streaming interface. The streaming interface needs neither
 * reflection nor a tree of nodes, which keeps start-up short on a machine with a fifth of a core.
 *
 * Whole numbers are decoded as Long (BigInteger beyond its range), other numbers as Double.
 */
object Cbor {
    private const val MAX_DEPTH = 32
    private const val BUFFER_BYTES = 256
    private val factory = CBORFactory()
    private val jsonFactory by lazy { JsonFactory() }

    /**
     * Encodes null, strings, numbers, booleans, maps with string keys and collections of these.
     *
     * @throws IllegalArgumentException for a value of any other type
     */
    fun encode(value: Any?): ByteArray {
        val output = ByteArrayOutputStream(BUFFER_BYTES)
        factory.createGenerator(output).use { write(it, value) }
        return output.toByteArray()
    }

    /**
     * Decodes bytes that are exactly one map.
     *
     * @throws MalformedMessage for other bytes, and for binary values, keys that are not strings and deep nesting
     */
    fun decodeMap(bytes: ByteArray): Fields {
        try {
            factory.createParser(bytes).use { parser ->
                if (parser.nextToken() != JsonToken.START_OBJECT) throw MalformedMessage("not a map")
                val value = readMap(parser, 0)
                if (parser.nextToken() != null) throw MalformedMessage("more than one value")
                return value
            }
        } catch (e: MalformedMessage) {
            throw e
        } catch (e: IOException) {
            throw MalformedMessage("not CBOR: ${e.message}")
        }
    }

    /** Returns the size of the value in JSON, which is what the key-value store compares with its size limit. */
    fun jsonSizeBytes(value: Any?): Int {
        val counter = ByteCounter()
        jsonFactory.createGenerator(counter).use { write(it, value) }
        return counter.bytes
    }

    private fun readValue(parser: JsonParser, depth: Int): Any? =
        when (parser.currentToken()) {
            JsonToken.START_OBJECT -> readMap(parser, depth + 1)
            JsonToken.START_ARRAY -> readList(parser, depth)
            JsonToken.VALUE_STRING -> parser.text
            JsonToken.VALUE_NUMBER_INT -> parser.numberValue.let { if (it is BigInteger) it else it.toLong() }
            JsonToken.VALUE_NUMBER_FLOAT -> parser.doubleValue
            JsonToken.VALUE_TRUE -> true
            JsonToken.VALUE_FALSE -> false
            JsonToken.VALUE_NULL -> null
            else -> throw MalformedMessage("unexpected ${parser.currentToken()}")
        }

    private fun readMap(parser: JsonParser, depth: Int): Fields {
        if (depth > MAX_DEPTH) throw MalformedMessage("nested too deeply")
        val map = LinkedHashMap<String, Any?>()
        while (true) {
            val token = parser.nextToken() ?: throw MalformedMessage("truncated")
            if (token == JsonToken.END_OBJECT) return map
            val name = parser.currentName() ?: throw MalformedMessage("a key is not text")
            if (parser.nextToken() == null) throw MalformedMessage("truncated")
            map[name] = readValue(parser, depth)
        }
    }

    private fun readList(parser: JsonParser, depth: Int): List<Any?> {
        if (depth > MAX_DEPTH) throw MalformedMessage("nested too deeply")
        val list = ArrayList<Any?>()
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (parser.currentToken() == null) throw MalformedMessage("truncated")
            list.add(readValue(parser, depth + 1))
        }
        return list
    }

    private fun write(generator: JsonGenerator, value: Any?) {
        when (value) {
            null -> generator.writeNull()
            is String -> generator.writeString(value)
            is Int -> generator.writeNumber(value)
            is Long -> generator.writeNumber(value)
            is BigInteger -> generator.writeNumber(value)
            is Double -> generator.writeNumber(value)
            is Boolean -> generator.writeBoolean(value)
            is Map<*, *> -> {
                generator.writeStartObject(value, value.size)
                for ((name, element) in value) {
                    generator.writeFieldName(name as String)
                    write(generator, element)
                }
                generator.writeEndObject()
            }
            is Collection<*> -> {
                generator.writeStartArray(value, value.size)
                for (element in value) write(generator, element)
                generator.writeEndArray()
            }
            else -> throw IllegalArgumentException("no CBOR form for ${value.javaClass}")
        }
    }

    /** Counts the bytes that are written and discards them. */
    private class ByteCounter : OutputStream() {
        var bytes = 0
            private set

        override fun write(byte: Int) {
            bytes++
        }

        override fun write(buffer: ByteArray, offset: Int, length: Int) {
            bytes += length
        }
    }
}
