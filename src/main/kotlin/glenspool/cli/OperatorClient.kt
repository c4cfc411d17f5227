package glenspool.cli

import com.fasterxml.jackson.databind.ObjectMapper
import glenspool.http.HttpClient
import glenspool.http.RawResult
import kotlinx.serialization.SerializationException
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import kotlin.time.Duration.Companion.seconds

/** Outcome of an operator's request to a controller. */
sealed interface OperatorAnswer<out T> {
    /** The controller replied. */
    data class Replied<T>(val reply: T) : OperatorAnswer<T>

    /** There is no usable reply; [reason] says why. */
    data class Failed(val reason: String) : OperatorAnswer<Nothing>
}

/**
 * The options and arguments of an operators' command.
 *
 * @property node the controller's internal address, not yet checked, see [requireAddress]
 * @property operator name of the operator who gives the order; by default the user of the process
 * @property isJson whether the reply is printed as JSON
 * @property arguments arguments that are not options
 */
internal class OperatorOptions private constructor(
    val node: String,
    val operator: String?,
    val isJson: Boolean,
    val arguments: List<String>,
) {
    fun requireAddress() {
        if (!isNodeAddress(node)) throw UsageError("--node needs an internal address such as 10.0.0.1:8081")
    }

    fun requireNoArguments(command: String) {
        if (arguments.isNotEmpty()) throw UsageError("$command: unexpected argument '${arguments.first()}'")
    }

    companion object {
        private const val NODE = "node"
        private const val BY = "by"
        private const val JSON = "json"

        fun parse(args: List<String>): OperatorOptions {
            val options =
                Options()
                    .addOption(valueOption(NODE, isRequired = true))
                    .addOption(valueOption(BY))
                    .addOption(Option.builder().longOpt(JSON).build())
            val line = parseOptions(options, args)
            val operator = line.getOptionValue(BY) ?: System.getProperty("user.name")
            return OperatorOptions(line.getOptionValue(NODE), operator, line.hasOption(JSON), line.argList)
        }
    }
}

/** Sends operators' requests to a running controller, at its internal address. */
internal object OperatorClient {
    private const val OK = 200
    private const val NOT_FOUND = 404
    private val REPLY_TIMEOUT = 8.seconds
    private val http = HttpClient(2.seconds)

    /**
     * Posts [body] to [path] and decodes the reply with [decode].
     *
     * @param notFoundReason the reason of the failure if the controller responds that [path] does not exist
     */
    fun <T> post(
        node: String,
        path: String,
        body: ByteArray,
        notFoundReason: String,
        decode: (ByteArray) -> T,
    ): OperatorAnswer<T> =
        when (val result = http.callRaw("POST", node, path, body, REPLY_TIMEOUT)) {
            is RawResult.NotSent -> OperatorAnswer.Failed(result.reason)
            is RawResult.NoResponse ->
                OperatorAnswer.Failed("no response; the request may have been carried out: ${result.reason}")
            is RawResult.Response ->
                when (result.status) {
                    OK -> decodeReply(result.body, decode)
                    NOT_FOUND -> OperatorAnswer.Failed(notFoundReason)
                    else -> OperatorAnswer.Failed("status ${result.status}")
                }
        }

    private fun <T> decodeReply(body: ByteArray, decode: (ByteArray) -> T): OperatorAnswer<T> =
        try {
            OperatorAnswer.Replied(decode(body))
        } catch (e: SerializationException) {
            OperatorAnswer.Failed("the reply could not be decoded: ${e.message}")
        }

    fun printJson(reply: Any) = println(ObjectMapper().writeValueAsString(reply))
}
