package glenspool.cli

import java.io.File

/**
 * `glenspool explain LOG`: summarizes how tasks were placed and stopped, by class and cause. The log has to be at level
 * debug, with lines that begin with the time in seconds and the node, as the platform writes them. The summary shows
 * whether an objective was missed because an image was not cached, free resources were missing, a machine was lost or
 * there was no leader.
 */
internal object ExplainCommand {
    fun run(args: List<String>): Int {
        val file = File(args.singleOrNull() ?: throw UsageError("explain needs one LOG"))
        if (!file.isFile) throw UsageError("${file.path}: no such file")
        print(text(file.useLines { LogSummary.of(it) }))
        return ExitCode.OK
    }

    private fun text(summary: LogSummary): String =
        buildString {
            appendLine("class                places  uncached  again  s-away-each  stops by reason")
            for ((name, placements) in summary.placements) appendLine(placementLine(name, placements))
            if (summary.dependencies.isNotEmpty()) {
                appendLine("waited for others     ready  s-held-each  aborted with another")
            }
            for ((name, dependencies) in summary.dependencies) appendLine(dependencyLine(name, dependencies))
            if (summary.missingTasks.isNotEmpty()) appendLine("missing tasks: ${summary.missingTasks}")
            if (summary.requestedMachines.isNotEmpty()) {
                appendLine("machines requested by cause: ${summary.requestedMachines}")
            }
            appendLine("machines given up: ${summary.deletedMachines}")
            val terms = "terms of leadership: ${summary.terms}"
            val leaderless = "%.1f".format(summary.leaderlessSeconds)
            appendLine("leases ended: ${summary.expiredLeases}; $terms; seconds between them: $leaderless")
        }

    private fun placementLine(className: String, summary: PlacementSummary): String =
        "%-20s %6d  %8d  %5d  %11.1f  %s".format(
            className,
            summary.placements,
            summary.uncached,
            summary.replacements,
            mean(summary.secondsWithoutPlacement, summary.replacements),
            summary.stops,
        )

    private fun dependencyLine(className: String, summary: DependencySummary): String =
        "%-20s %6d  %11.1f  %20d".format(
            className,
            summary.done,
            mean(summary.secondsWaited, summary.done),
            summary.aborted,
        )

    private fun mean(sum: Double, count: Int): Double = if (count == 0) 0.0 else sum / count
}
