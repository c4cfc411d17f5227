package glenspool.cli

import com.fasterxml.jackson.databind.ObjectMapper
import glenspool.http.CallResult
import glenspool.http.HttpClient
import glenspool.wire.Fields
import org.apache.commons.cli.Options
import java.io.File
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/** `glenspool job …`: a user's requests to a running controller, at its API address. */
internal object JobCommand {
    private const val SUBMIT = "submit"
    private const val NODE = "node"
    private val REQUEST_TIMEOUT = 5.seconds
    private val SUCCESS = 200..299
    private val json = ObjectMapper()
    private val http = HttpClient(2.seconds)

    fun run(args: List<String>): Int {
        val verb = args.firstOrNull() ?: throw UsageError("job needs submit, show or cancel")
        val line = parseOptions(Options().addOption(valueOption(NODE, isRequired = true)), args.drop(1))
        val node = line.getOptionValue(NODE)
        if (!isNodeAddress(node)) throw UsageError("--node needs an address such as 10.0.0.1:8080")
        val argument =
            line.argList.singleOrNull()
                ?: throw UsageError("job $verb needs one ${if (verb == SUBMIT) "FILE" else "ID"}")
        return when (verb) {
            SUBMIT -> report(http.post(node, "/api/jobs", read(File(argument)), REQUEST_TIMEOUT))
            "show" -> report(http.get(node, "/api/jobs/$argument", REQUEST_TIMEOUT))
            // "withdraw" is the name of this command in earlier versions.
            "cancel", "withdraw" -> report(http.post(node, "/api/jobs/$argument/withdraw", emptyMap(), REQUEST_TIMEOUT))
            else -> throw UsageError("unknown job command '$verb'")
        }
    }

    @Suppress("UNCHECKED_CAST")
    private fun read(file: File): Fields =
        try {
            json.readValue(file, Map::class.java) as Fields
        } catch (e: IOException) {
            throw UsageError("${file.path}: ${e.message}")
        }

    private fun report(result: CallResult): Int =
        when (result) {
            is CallResult.Response -> report(result)
            is CallResult.NotSent -> reportFailure(result.reason)
            is CallResult.NoResponse ->
                reportFailure("no response; the request may have been carried out: ${result.reason}")
        }

    private fun report(response: CallResult.Response): Int {
        val text = json.writeValueAsString(response.body)
        if (response.status !in SUCCESS) return reportFailure("status ${response.status} $text")
        println(text)
        return ExitCode.OK
    }
}
