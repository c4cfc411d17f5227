package glenspool.cli

import glenspool.config.SettingsError
import glenspool.core.Tuning
import org.apache.commons.cli.ParseException
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

/** Runs the command that the arguments name and exits with its code. */
fun main(args: Array<String>) {
    exitProcess(execute(args.asList()))
}

/** Runs a command and returns the process's exit code, see [ExitCode]. */
fun execute(args: List<String>): Int =
    try {
        runCommand(args)
    } catch (e: UsageError) {
        reportUsage(e)
    } catch (e: ParseException) {
        reportUsage(e)
    } catch (e: SettingsError) {
        e.problems.forEach { System.err.println("glenspool: $it") }
        ExitCode.FAILED
    }

private fun reportUsage(e: Exception): Int {
    System.err.println("glenspool: ${e.message}")
    System.err.println("Try 'glenspool --help'.")
    return ExitCode.USAGE
}

private fun runCommand(args: List<String>): Int {
    val command = args.firstOrNull() ?: throw UsageError("a command is needed")
    val rest = args.drop(1)
    return when (command) {
        "--help", "-h" -> show(USAGE)
        "--version" -> show("glenspool ${version()}")
        "serve" -> ServeCommand.run(rest)
        "check-config" -> CheckConfigCommand.run(rest)
        "job" -> JobCommand.run(rest)
        "rollout" -> RolloutCommand.run(rest)
        "recovery" -> RecoveryCommand.run(rest)
        "explain" -> ExplainCommand.run(rest)
        // Run only by the build, see pom.xml.
        "rehearse" -> ClassLoadingRun.run()
        else -> throw UsageError("unknown command '$command'")
    }
}

private fun show(text: String): Int {
    println(text)
    return ExitCode.OK
}

/** Returns the version from the jar's manifest, or `development` outside of a jar. */
internal fun version(): String = Tuning::class.java.`package`.implementationVersion ?: "development"
