package glenspool.cli

import java.util.TreeMap

/** The placements of tasks of one class. */
internal class PlacementSummary {
    var placements = 0

    /** Placements on a machine that did not have the image. */
    var uncached = 0

    /** Placements of tasks that had been placed before and lost their place. */
    var replacements = 0

    /** Between the loss of a place and the next placement, in seconds, over all [replacements]. */
    var secondsWithoutPlacement = 0.0

    /** Tasks stopped, by reason. */
    val stops = TreeMap<String, Int>()
}

/** The jobs of one class that depended on other jobs. */
internal class DependencySummary {
    /** Jobs whose dependencies were done. */
    var done = 0

    /** Until then, in seconds, over all jobs that are [done]. */
    var secondsWaited = 0.0

    /** Jobs aborted because a dependency failed. */
    var aborted = 0
}

/** What a log says about placements, dependencies, machines and leaders. */
internal class LogSummary private constructor() {
    /** By class. */
    val placements = TreeMap<String, PlacementSummary>()

    /** By class. */
    val dependencies = TreeMap<String, DependencySummary>()

    /** Machines deleted, by reason. */
    val deletedMachines = TreeMap<String, Int>()
    var expiredLeases = 0
        private set
    var terms = 0
        private set

    /** From the end of a leader's term, or its last sign of life, to the election of the next one. */
    var leaderlessSeconds = 0.0
        private set

    private val classOfTask = HashMap<String, String>()
    private val unplacedAt = HashMap<String, Double>()
    private var leadershipEndedAt: Double? = null
    private var lastLeaderLineAt = 0.0

    private fun add(line: LogLine) {
        when (line.event) {
            "place" -> addPlacement(line, line.className ?: return)
            "unplace" -> if (line.task in classOfTask) unplacedAt[line.task] = line.seconds
            "stop" -> addStop(line)
            "dependencies-done" -> line.className?.let { addDependenciesDone(line, it) }
            "abort" -> line.className?.let { dependenciesOf(it).aborted++ }
            "delete-machine" -> deletedMachines.merge(line.reason, 1, Int::plus)
            "lease-expired" -> expiredLeases++
            "elected" -> addElection(line)
            "leadership" -> leadershipEndedAt = line.seconds
        }
        if (line.isOfLeader) lastLeaderLineAt = line.seconds
    }

    private fun addPlacement(line: LogLine, className: String) {
        classOfTask[line.task] = className
        val summary = placements.getOrPut(className) { PlacementSummary() }
        summary.placements++
        if (line.field("cached") == "false") summary.uncached++
        val unplaced = unplacedAt.remove(line.task) ?: return
        summary.replacements++
        summary.secondsWithoutPlacement += line.seconds - unplaced
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

    private fun addElection(line: LogLine) {
        terms++
        if (terms > 1) leaderlessSeconds += line.seconds - (leadershipEndedAt ?: lastLeaderLineAt)
        leadershipEndedAt = null
    }

    private fun dependenciesOf(className: String) = dependencies.getOrPut(className) { DependencySummary() }

    companion object {
        /** Lines that are not of the log are passed over. */
        fun of(lines: Sequence<String>): LogSummary {
            val summary = LogSummary()
            for (text in lines) summary.add(LogLine.parse(text) ?: continue)
            return summary
        }
    }
}

/** A log line: when it was written, which event it reports, and the event's fields, written `name=value`. */
private class LogLine(val seconds: Double, private val text: String) {
    private val fields = fieldPattern.findAll(text).associate { it.groupValues[1] to it.groupValues[2] }

    val event: String get() = text.substringBefore(' ')
    val task: String get() = field("task").orEmpty()
    val className: String? get() = field("class")
    val reason: String get() = field("reason") ?: "?"

    /** Whether only a leader writes such a line. */
    val isOfLeader: Boolean get() = leaderPrefixes.any(text::startsWith)

    fun field(name: String): String? = fields[name]

    companion object {
        private val linePattern = Regex("""\s*([0-9.]+) (\S+) [A-Z]+ \S+ - (.*)""")
        private val fieldPattern = Regex("""([a-z-]+)=(\S+)""")
        private val leaderPrefixes = listOf("direct ", "store ", "place ")

        /** Null: the text is no log line. */
        fun parse(text: String): LogLine? {
            val (time, _, message) = linePattern.matchEntire(text)?.destructured ?: return null
            return LogLine(time.toDoubleOrNull() ?: return null, message)
        }
    }
}
