package glenspool.cli

import glenspool.config.OperatorScript
import glenspool.config.RecoverySettingsReader
import glenspool.config.RolloutSettingsReader
import glenspool.config.Settings
import glenspool.config.SettingsError
import glenspool.config.SettingsReader
import glenspool.controller.Node
import glenspool.core.Tuning
import glenspool.http.HttpListener
import org.apache.commons.cli.DefaultParser
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import org.apache.commons.cli.ParseException
import java.io.File
import kotlin.system.exitProcess

private const val USAGE = """usage: glenspool COMMAND [OPTIONS]

  serve --config FILE [--script FILE] [--rollout FILE] [--recovery FILE]
                                               run a controller until it is killed
  check-config [--script FILE] [--rollout FILE] [--recovery FILE] FILE
                                               check a settings file, a tuning script, a policy for rollouts or for recovery
  job submit --node ADDR FILE                  submit a job described in a JSON file
  job show --node ADDR ID                      show a job
  job cancel --node ADDR ID                    cancel a job
  rollout status|plan --node ADDR [--json]     how far an upgrade of the controllers is, and what comes next
  rollout watch --node ADDR                    the same, live
  rollout hold|resume --node ADDR              let no level become active; take that back
  rollout activate|deactivate --node ADDR LEVEL
                                               let a level become active; leave the active one
  rollout exclude|include --node ADDR MEMBER   go on without a controller's evidence; ask for it again
  recovery status|differences --node ADDR [--json]
                                               what the leader has ordered, how far its recovery is; what is not as stored
  recovery approve|pause|resume --node ADDR    let destructive orders go on; hold the recovery; take that back
  explain LOG                                  where tasks' time went, from a log at level debug
  --version, --help

The log goes to standard error; LOG_LEVEL is error, info or debug."""

/** The command line was wrong. */
class UsageError(message: String) : Exception(message)

fun main(args: Array<String>) {
    exitProcess(execute(args.asList()))
}

/** Runs a command and returns the exit code: 0 done, 1 failed, 2 wrong usage. */
fun execute(args: List<String>): Int =
    try {
        command(args)
    } catch (e: UsageError) {
        usage(e)
    } catch (e: ParseException) {
        usage(e)
    } catch (e: SettingsError) {
        e.problems.forEach { System.err.println("glenspool: $it") }
        1
    }

private fun usage(e: Exception): Int {
    System.err.println("glenspool: ${e.message}")
    System.err.println("Try 'glenspool --help'.")
    return 2
}

private fun command(args: List<String>): Int {
    when (args.firstOrNull()) {
        null -> throw UsageError("a command is needed")
        "--help", "-h" -> println(USAGE)
        "--version" -> println("glenspool ${version()}")
        "serve" -> return serve(args.drop(1))
        "rollout" -> return RolloutCommand.run(args.drop(1))
        "recovery" -> return RecoveryCommand.run(args.drop(1))
        "job" -> return JobCommand.run(args.drop(1))
        "check-config" -> return checkConfig(args.drop(1))
        "explain" -> return Explain.run(args.drop(1))
        "rehearse" -> return ClassLoadingRun.run()
        else -> throw UsageError("unknown command '${args.first()}'")
    }
    return 0
}

private fun version(): String = Tuning::class.java.`package`.implementationVersion ?: "development"

private fun serve(args: List<String>): Int {
    val node = begin(args)
    Runtime.getRuntime().addShutdownHook(closing(node))
    node.join()
    return 0
}

internal fun closing(node: Node) = Thread(node::close, "close")

/** Starts a controller as `serve` was told; the rehearsal goes the same way. */
internal fun begin(args: List<String>): Node {
    val options =
        Options()
            .addOption(
                Option
                    .builder()
                    .longOpt("config")
                    .hasArg()
                    .required()
                    .build(),
            ).addOption(
                Option
                    .builder()
                    .longOpt("script")
                    .hasArg()
                    .build(),
            ).addOption(
                Option
                    .builder()
                    .longOpt("rollout")
                    .hasArg()
                    .build(),
            ).addOption(
                Option
                    .builder()
                    .longOpt("recovery")
                    .hasArg()
                    .build(),
            )
    val line = DefaultParser().parse(options, args.toTypedArray())
    if (line.argList.isNotEmpty()) throw UsageError("unexpected argument '${line.argList.first()}'")
    val settings = SettingsReader().read(File(line.getOptionValue("config")))
    HttpListener.configure(settings.maxSockets)
    val policy = line.getOptionValue("rollout")?.let { RolloutSettingsReader().read(File(it)) }
    val recovery = line.getOptionValue("recovery")?.let { RecoverySettingsReader().read(File(it)) }
    val node =
        Node(settings, tuning(settings, line.getOptionValue("script")), policy, build = version(), recoveryPolicy = recovery) {
            Runtime
                .getRuntime()
                .halt(UNFIT)
        }
    node.start()
    return node
}

/** The exit code of a controller that can't go on, such as one without memory; the platform starts it anew. */
private const val UNFIT = 70

private fun checkConfig(args: List<String>): Int {
    val options =
        Options()
            .addOption(
                Option
                    .builder()
                    .longOpt("script")
                    .hasArg()
                    .build(),
            ).addOption(
                Option
                    .builder()
                    .longOpt("rollout")
                    .hasArg()
                    .build(),
            ).addOption(
                Option
                    .builder()
                    .longOpt("recovery")
                    .hasArg()
                    .build(),
            )
    val line = DefaultParser().parse(options, args.toTypedArray())
    val file = line.argList.singleOrNull() ?: throw UsageError("check-config needs one FILE")
    line.getOptionValue("rollout")?.let { RolloutSettingsReader().read(File(it)) }
    line.getOptionValue("recovery")?.let { RecoverySettingsReader().read(File(it)) }
    tuning(SettingsReader().read(File(file)), line.getOptionValue("script"))
    println("$file: good")
    return 0
}

private fun tuning(settings: Settings, script: String?): Tuning =
    if (script ==
        null
    ) {
        Tuning()
    } else {
        OperatorScript(settings).load(File(script))
    }
