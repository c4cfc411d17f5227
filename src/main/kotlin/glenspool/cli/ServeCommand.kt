package glenspool.cli

import glenspool.config.SettingsReader
import glenspool.controller.Node
import glenspool.http.HttpListener
import java.io.File

/** `glenspool serve …`: runs a controller until the process is killed. */
internal object ServeCommand {
    private const val CONFIG = "config"

    fun run(args: List<String>): Int {
        val node = start(args)
        Runtime.getRuntime().addShutdownHook(shutdownHook(node))
        node.join()
        return ExitCode.OK
    }

    /** Starts a controller with the options in [args]. */
    fun start(args: List<String>): Node {
        val options = ConfigFiles.options().addOption(valueOption(CONFIG, isRequired = true))
        val line = parseOptions(options, args)
        if (line.argList.isNotEmpty()) throw UsageError("unexpected argument '${line.argList.first()}'")
        val settings = SettingsReader().read(File(line.getOptionValue(CONFIG)))
        HttpListener.setSocketLimit(settings.maxSockets)
        val files = ConfigFiles(line)
        val rolloutPolicy = files.rolloutPolicy()
        val recoveryPolicy = files.recoveryPolicy()
        val tuning = files.tuning(settings)
        val node =
            Node(settings, tuning, rolloutPolicy, build = version(), recoveryPolicy = recoveryPolicy) {
                Runtime.getRuntime().halt(ExitCode.FATAL_ERROR)
            }
        node.start()
        return node
    }

    fun shutdownHook(node: Node) = Thread(node::close, "close")
}

/** `glenspool check-config …`: checks the files that `serve` would read. */
internal object CheckConfigCommand {
    fun run(args: List<String>): Int {
        val line = parseOptions(ConfigFiles.options(), args)
        val file = line.argList.singleOrNull() ?: throw UsageError("check-config needs one FILE")
        val files = ConfigFiles(line)
        files.rolloutPolicy()
        files.recoveryPolicy()
        files.tuning(SettingsReader().read(File(file)))
        println("$file: good")
        return ExitCode.OK
    }
}
