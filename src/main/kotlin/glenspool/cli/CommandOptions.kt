package glenspool.cli

import glenspool.config.OperatorScript
import glenspool.config.RecoverySettingsReader
import glenspool.config.RolloutSettingsReader
import glenspool.config.Settings
import glenspool.core.Tuning
import glenspool.reconcile.RecoveryPolicy
import glenspool.rollout.RolloutPolicy
import org.apache.commons.cli.CommandLine
import org.apache.commons.cli.DefaultParser
import org.apache.commons.cli.Option
import org.apache.commons.cli.Options
import java.io.File

/** @throws org.apache.commons.cli.ParseException if [args] do not fit [options] */
internal fun parseOptions(options: Options, args: List<String>): CommandLine =
    DefaultParser().parse(options, args.toTypedArray())

/** The option `--name VALUE`. */
internal fun valueOption(name: String, isRequired: Boolean = false): Option =
    Option.builder().longOpt(name).hasArg().required(isRequired).build()

private val nodeAddress = Regex("[^:/ ]+:[0-9]{1,5}")

/** Whether [text] has the form `host:port`. */
internal fun isNodeAddress(text: String): Boolean = nodeAddress.matches(text)

/**
 * The optional files that `serve` and `check-config` share: the tuning script and the policies. Each function reads its
 * file and throws [glenspool.config.SettingsError] if the file is invalid.
 */
internal class ConfigFiles(private val commandLine: CommandLine) {
    /** Returns null if no policy for rollouts is given, so that rollouts are not managed. */
    fun rolloutPolicy(): RolloutPolicy? =
        commandLine.getOptionValue(ROLLOUT)?.let { RolloutSettingsReader().read(File(it)) }

    /** Returns null if no policy for recovery is given, so that recovery after a cold start is not managed. */
    fun recoveryPolicy(): RecoveryPolicy? =
        commandLine.getOptionValue(RECOVERY)?.let { RecoverySettingsReader().read(File(it)) }

    /** Returns the default tuning if no script is given. */
    fun tuning(settings: Settings): Tuning {
        val script = commandLine.getOptionValue(SCRIPT) ?: return Tuning()
        return OperatorScript(settings).load(File(script))
    }

    companion object {
        private const val SCRIPT = "script"
        private const val ROLLOUT = "rollout"
        private const val RECOVERY = "recovery"

        fun options(): Options =
            Options()
                .addOption(valueOption(SCRIPT))
                .addOption(valueOption(ROLLOUT))
                .addOption(valueOption(RECOVERY))
    }
}
