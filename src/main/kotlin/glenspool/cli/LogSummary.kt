package glenspool.cli

import java.util.TreeMap

/** The placements of tasks of one class. */
internal class PlacementSummary {
    var placements = 0

    /** Placements on machines that did not have the image cached. */
    var uncached = 0

    /** Placements of tasks whose earlier placement was removed. */
    var replacements = 0

    /** Seconds between the removal of a placement and the task's next placement, summed over all [replacements]. */
    var secondsWithoutPlacement = 0.0

    /** Number of stopped tasks by reason. */
    val stops = TreeMap<String, Int>()
}

/** The jobs of one class that depended on other jobs. */
internal class DependencySummary {
    /** Jobs whose dependencies were done. */
    var done = 0

    /** Seconds until the dependencies were done, summed over the jobs counted in [done]. */
    var secondsWaited = 0.0

    /** Jobs aborted because a dependency failed. */
    var aborted = 0
}

/** Summary of what a log reports about placements, dependencies, machines and leaders. */
internal class LogSummary private constructor() {
    /** Summary of placements by class. */
    val placements = TreeMap<String, PlacementSummary>()

    /** Summary of jobs with dependencies by class. */
    val dependencies = TreeMap<String, DependencySummary>()

    /** Number of tasks that were missing on their machines, by decision and, if they were placed anew, by obstacle. */
    val missingTasks = TreeMap<String, Int>()

    /** Number of requested machines by cause. */
    val requestedMachines = TreeMap<String, Int>()

    /** Number of deleted machines by reason. */
    val deletedMachines = TreeMap<String, Int>()
    var expiredLeases = 0
        private set
    var terms = 0
        private set

    /**
     * Seconds without a leader, summed over all changes of the leader: from the logged end of a term, or from the last
     * line of its leader if the end was not logged, to the next election.
     */
    var leaderlessSeconds = 0.0
        private set

    private val classOfTask = HashMap<String, String>()
    private val placementRemovedAt = HashMap<String, Double>()
    private var leadershipEndedAt: Double? = null
    private var lastLineOfLeaderAt = 0.0

    private fun add(line: LogLine) {
        when (line.event) {
            "place" -> addPlacement(line, line.className ?: return)
            "unplace" -> if (line.task in classOfTask) placementRemovedAt[line.task] = line.seconds
            "stop" -> addStop(line)
            "dependencies-done" -> line.className?.let { addDependenciesDone(line, it) }
            "abort" -> line.className?.let { dependenciesOf(it).aborted++ }
            "missing-task" -> addMissingTask(line)
            "scale-out-planned" -> addRequestedMachines(line)
            "delete-machine" -> deletedMachines.merge(line.reason, 1, Int::plus)
            "lease-expired" -> expiredLeases++
            "elected" -> addElection(line)
            "leadership" -> leadershipEndedAt = line.seconds
        }
        if (line.isOfLeader) lastLineOfLeaderAt = line.seconds
    }

    private fun addPlacement(line: LogLine, className: String) {
        classOfTask[line.task] = className
        val summary = placements.getOrPut(className) { PlacementSummary() }
        summary.placements++
        if (line.field("cached") == "false") summary.uncached++
        val removedAt = placementRemovedAt.remove(line.task) ?: return
        summary.replacements++
        summary.secondsWithoutPlacement += line.seconds - removedAt
    }

    private fun addStop(line: LogLine) {
        val className = classOfTask[line.task] ?: return
        placements.getValue(className).stops.merge(line.reason, 1, Int::plus)
    }

    private fun addDependenciesDone(line: LogLine, className: String) {
        val summary = dependenciesOf(className)
        summary.done++
        summary.secondsWaited += line.field("waited-s")?.toDoubleOrNull() ?: 0.0
    }

    private fun addMissingTask(line: LogLine) {
        val decision = line.field("decision") ?: return
        val obstacle = line.field("obstacle")?.takeIf { decision == "placed-anew" && it != "null" }
        missingTasks.merge(listOfNotNull(decision, obstacle).joinToString(" "), 1, Int::plus)
    }

    /** Adds the machines of a request, whose causes have the form `cause:number,cause:number`. */
    private fun addRequestedMachines(line: LogLine) {
        for (part in line.field("causes").orEmpty().split(',')) {
            val count = part.substringAfter(':', "").toIntOrNull() ?: continue
            requestedMachines.merge(part.substringBefore(':'), count, Int::plus)
        }
    }

    private fun addElection(line: LogLine) {
        terms++
        if (terms > 1) leaderlessSeconds += line.seconds - (leadershipEndedAt ?: lastLineOfLeaderAt)
        leadershipEndedAt = null
    }

    private fun dependenciesOf(className: String) = dependencies.getOrPut(className) { DependencySummary() }

    companion object {
        /** Summarizes [lines]; text that is not a log line is skipped. */
        fun of(lines: Sequence<String>): LogSummary {
            val summary = LogSummary()
            for (text in lines) summary.add(LogLine.parse(text) ?: continue)
            return summary
        }
    }
}

/** A log line with its time, the event that it reports, and the event's fields in the form `name=value`. */
private class LogLine(val seconds: Double, private val text: String) {
    private val fields = fieldPattern.findAll(text).associate { it.groupValues[1] to it.groupValues[2] }

    val event: String get() = text.substringBefore(' ')
    val task: String get() = field("task").orEmpty()
    val className: String? get() = field("class")
    val reason: String get() = field("reason") ?: "?"

    /** Whether the line is of a kind that only a leader writes. */
    val isOfLeader: Boolean get() = leaderPrefixes.any(text::startsWith)

    fun field(name: String): String? = fields[name]

    companion object {
        private val linePattern = Regex("""\s*([0-9.]+) (\S+) [A-Z]+ \S+ - (.*)""")
        private val fieldPattern = Regex("""([a-z-]+)=(\S+)""")
        private val leaderPrefixes = listOf("direct ", "store ", "place ")

        /** Returns null if [text] is not a log line. */
        fun parse(text: String): LogLine? {
            val (time, _, message) = linePattern.matchEntire(text)?.destructured ?: return null
            return LogLine(time.toDoubleOrNull() ?: return null, message)
        }
    }
}
