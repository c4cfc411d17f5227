package glenspool.cli

import glenspool.http.HttpCaller
import glenspool.http.RawResult
import kotlinx.serialization.SerializationException
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import kotlin.time.Duration.Companion.seconds

/** How a question to a controller ended. */
sealed interface OperatorAnswer<out T> {
    data class Replied<T>(val reply: T) : OperatorAnswer<T>

    data class Failed(val reason: String) : OperatorAnswer<Nothing>
}

/** Asks a running controller at its internal address, for operators' commands. */
internal object OperatorClient {
    private val http = HttpCaller(2.seconds)
    private val nodeAddress = Regex("[^:/ ]+:[0-9]{1,5}")
    private val REPLY_TIMEOUT = 8.seconds
    private const val OK = 200
    private const val NOT_FOUND = 404

    /** The options that all of these commands take. */
    fun options(): Options =
        Options()
            .addOption(
                Option
                    .builder()
                    .longOpt("node")
                    .hasArg()
                    .required()
                    .build(),
            ).addOption(
                Option
                    .builder()
                    .longOpt("by")
                    .hasArg()
                    .build(),
            ).addOption(Option.builder().longOpt("json").build())

    fun checkAddress(node: String) {
        if (!nodeAddress.matches(node)) throw UsageError("--node needs an internal address such as 10.0.0.1:8081")
    }

    /** [unknownPath]: what it means that the controller does not know [path]. */
    fun <T> ask(
        node: String,
        path: String,
        body: ByteArray,
        unknownPath: String,
        read: (ByteArray) -> T,
    ): OperatorAnswer<T> =
        when (val result = http.callRaw("POST", node, path, body, REPLY_TIMEOUT)) {
            is RawResult.NotSent -> OperatorAnswer.Failed(result.why)
            is RawResult.NoAnswer -> OperatorAnswer.Failed("no answer; it may have been carried out: ${result.why}")
            is RawResult.Answer ->
                when (result.status) {
                    OK -> decode(result.body, read)
                    NOT_FOUND -> OperatorAnswer.Failed(unknownPath)
                    else -> OperatorAnswer.Failed("status ${result.status}")
                }
        }

    private fun <T> decode(body: ByteArray, read: (ByteArray) -> T): OperatorAnswer<T> =
        try {
            OperatorAnswer.Replied(read(body))
        } catch (e: SerializationException) {
            OperatorAnswer.Failed("the answer is not understood: ${e.message}")
        }

    /** What an order's refusal comes to on the command line. */
    fun fail(reason: String, retryAfterSeconds: Int? = null): Int {
        System.err.println("glenspool: $reason${retryAfterSeconds?.let { "; try again in $it s" } ?: ""}")
        return 1
    }
}
