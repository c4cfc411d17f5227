package glenspool.wire

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.OutputStream

/** A message that can't be understood; the text says which part. */
class MalformedMessage(message: String) : IOException(message)

/**
 * CBOR by Jackson's streaming interface, to and from plain maps. Neither reflection nor a tree of nodes is
 * needed, which keeps start-up short on a machine with a fifth of a core.
 */
object Cbor {
    private const val MAX_DEPTH = 32
    private val factory = CBORFactory()
    private val jsonFactory by lazy { JsonFactory() }

    fun encode(value: Any?): ByteArray {
        val out = ByteArrayOutputStream(256)
        factory.createGenerator(out).use { write(it, value) }
        return out.toByteArray()
    }

    /** Reads one map and nothing after it. Binary values, foreign keys and deep nesting are malformed. */
    fun decodeMap(bytes: ByteArray): Fields {
        try {
            factory.createParser(bytes).use { p ->
                if (p.nextToken() != JsonToken.START_OBJECT) throw MalformedMessage("not a map")
                val value = readMap(p, 0)
                if (p.nextToken() != null) throw MalformedMessage("more than one value")
                return value
            }
        } catch (e: MalformedMessage) {
            throw e
        } catch (e: IOException) {
            throw MalformedMessage("not CBOR: ${e.message}")
        }
    }

    private fun read(p: JsonParser, depth: Int): Any? =
        when (p.currentToken()) {
            JsonToken.START_OBJECT -> readMap(p, depth + 1)
            JsonToken.START_ARRAY -> {
                if (depth > MAX_DEPTH) throw MalformedMessage("nested too deeply")
                val list = ArrayList<Any?>()
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    if (p.currentToken() == null) throw MalformedMessage("truncated")
                    list.add(read(p, depth + 1))
                }
                list
            }
            JsonToken.VALUE_STRING -> p.text
            JsonToken.VALUE_NUMBER_INT -> p.numberValue.let { if (it is java.math.BigInteger) it else it.toLong() }
            JsonToken.VALUE_NUMBER_FLOAT -> p.doubleValue
            JsonToken.VALUE_TRUE -> true
            JsonToken.VALUE_FALSE -> false
            JsonToken.VALUE_NULL -> null
            else -> throw MalformedMessage("unexpected ${p.currentToken()}")
        }

    private fun readMap(p: JsonParser, depth: Int): Fields {
        if (depth > MAX_DEPTH) throw MalformedMessage("nested too deeply")
        val map = LinkedHashMap<String, Any?>()
        while (true) {
            val t = p.nextToken() ?: throw MalformedMessage("truncated")
            if (t == JsonToken.END_OBJECT) return map
            val name = p.currentName() ?: throw MalformedMessage("a key is not text")
            if (p.nextToken() == null) throw MalformedMessage("truncated")
            map[name] = read(p, depth)
        }
    }

    /** How many bytes the value takes as JSON, which is how the state service counts. */
    fun jsonBytes(value: Any?): Int {
        val count =
            object : OutputStream() {
                var bytes = 0

                override fun write(b: Int) {
                    bytes++
                }

                override fun write(b: ByteArray, off: Int, len: Int) {
                    bytes += len
                }
            }
        jsonFactory.createGenerator(count).use { write(it, value) }
        return count.bytes
    }

    private fun write(g: JsonGenerator, v: Any?) {
        when (v) {
            null -> g.writeNull()
            is String -> g.writeString(v)
            is Int -> g.writeNumber(v)
            is Long -> g.writeNumber(v)
            is java.math.BigInteger -> g.writeNumber(v)
            is Double -> g.writeNumber(v)
            is Boolean -> g.writeBoolean(v)
            is Map<*, *> -> {
                g.writeStartObject(v, v.size)
                for ((k, x) in v) {
                    g.writeFieldName(k as String)
                    write(g, x)
                }
                g.writeEndObject()
            }
            is Collection<*> -> {
                g.writeStartArray(v, v.size)
                for (x in v) write(g, x)
                g.writeEndArray()
            }
            else -> throw IllegalArgumentException("no CBOR form for ${v.javaClass}")
        }
    }
}
