package glenspool.soak

import com.fasterxml.jackson.dataformat.toml.TomlMapper
import java.io.File

/** The command of `deploy/service.toml` that starts a controller. Tests start it unchanged, in the repository's root. */
internal object DeployedRunLine {
    private val runLine = TomlMapper().readTree(File("deploy/service.toml")).path("run").asText()

    /** The program and its arguments; the path of the settings file has to be appended. */
    val arguments: List<String> = runLine.split(' ')

    /** The program and the JVM's options, without the class path and the main class. */
    val jvm: List<String> = arguments.takeWhile { it != "-cp" }
}
