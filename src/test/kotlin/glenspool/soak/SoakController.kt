package glenspool.soak

import java.io.File
import java.util.concurrent.TimeUnit

/** A controller as a process of its own, from the built jar. Its log goes to a file in the run's directory. */
internal class SoakController(
    val name: String,
    private val settingsFile: File,
    private val logFile: File,
    private val history: SoakHistory,
) {
    private var process: Process? = null

    @Synchronized
    fun start() {
        if (process?.isAlive == true) return
        val builder = ProcessBuilder(DeployedRunLine.arguments + settingsFile.path)
        builder.environment()["LOG_LEVEL"] = "info"
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(logFile))
        process = builder.start()
        history.event("$name starts")
    }

    /** Ends the process without notice. */
    @Synchronized
    fun kill() {
        process?.destroyForcibly()?.waitFor(KILL_SECONDS, TimeUnit.SECONDS)
        history.event("$name is killed")
    }

    /** Stops the process from running until [resume]. */
    fun pause() = signal("STOP")

    /** Lets a paused process go on. */
    fun resume() = signal("CONT")

    private fun signal(signal: String) {
        val running = process?.takeIf { it.isAlive } ?: return
        ProcessBuilder("kill", "-$signal", running.pid().toString()).start().waitFor(KILL_SECONDS, TimeUnit.SECONDS)
        history.event("$name gets $signal")
    }

    private companion object {
        const val KILL_SECONDS = 5L
    }
}
