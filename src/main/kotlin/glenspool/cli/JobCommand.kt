package glenspool.cli

import com.fasterxml.jackson.databind.ObjectMapper
import glenspool.http.CallResult
import glenspool.http.HttpCaller
import glenspool.wire.Fields
import org.apache.commons.cli.DefaultParser
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import java.io.File
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/** `glenspool job …`: a user's requests to a running service. */
object JobCommand {
    private val json = ObjectMapper()
    private val http = HttpCaller(2.seconds)

    fun run(args: List<String>): Int {
        val verb = args.firstOrNull() ?: throw UsageError("job needs submit, show or cancel")
        val line =
            DefaultParser()
                .parse(
                    Options().addOption(
                        Option
                            .builder()
                            .longOpt("node")
                            .hasArg()
                            .required()
                            .build(),
                    ),
                    args.drop(1).toTypedArray(),
                )
        val node = line.getOptionValue("node")
        if (!Regex("[^:/ ]+:[0-9]{1,5}").matches(node)) throw UsageError("--node needs an address such as 10.0.0.1:8080")
        val what =
            line.argList.singleOrNull()
                ?: throw UsageError("job $verb needs one ${if (verb == "submit") "FILE" else "ID"}")
        return when (verb) {
            "submit" -> answer(http.post(node, "/api/jobs", read(File(what)), TIMEOUT))
            "show" -> answer(http.get(node, "/api/jobs/$what", TIMEOUT))
            "cancel", "withdraw" -> answer(http.post(node, "/api/jobs/$what/withdraw", emptyMap(), TIMEOUT))
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

    private fun answer(r: CallResult): Int =
        when (r) {
            is CallResult.Answer -> {
                val text = json.writeValueAsString(r.body)
                if (r.status in 200..299) println(text) else System.err.println("glenspool: status ${r.status} $text")
                if (r.status in 200..299) 0 else 1
            }
            is CallResult.NotSent -> fail(r.why)
            is CallResult.NoAnswer -> fail("no answer; it may have been carried out: ${r.why}")
        }

    private fun fail(why: String): Int {
        System.err.println("glenspool: $why")
        return 1
    }

    private val TIMEOUT = 5.seconds
}
