package glenspool.cli

import java.io.File
import java.util.TreeMap

/**
 * `glenspool explain LOG`: where the time of tasks went, by class and cause, from a log at level debug whose lines
 * begin with the time in seconds and the node, as the platform writes them. Half of understanding a miss is to
 * know whether it was a fetch, a wait for room, a lost machine or a missing leader.
 */
object Explain {
    private val line = Regex("""\s*([0-9.]+) (\S+) [A-Z]+ \S+ - (.*)""")
    private val pair = Regex("""([a-z-]+)=(\S+)""")

    class ClassSums {
        var places = 0
        var uncached = 0
        var again = 0
        var away = 0.0
        val stops = TreeMap<String, Int>()
    }

    /** Jobs of a class that waited for others. */
    class ChainSums {
        var ready = 0
        var held = 0.0
        var cut = 0
    }

    class Result {
        val classes = TreeMap<String, ClassSums>()
        val chains = TreeMap<String, ChainSums>()
        val giveUps = TreeMap<String, Int>()
        var terms = 0
        var leaseEnds = 0
        var leaderless = 0.0
    }

    fun run(args: List<String>): Int {
        val file = File(args.singleOrNull() ?: throw UsageError("explain needs one LOG"))
        if (!file.isFile) throw UsageError("${file.path}: no such file")
        print(text(file.useLines { read(it) }))
        return 0
    }

    fun read(lines: Sequence<String>): Result {
        val r = Result()
        val classOf = HashMap<String, String>()
        val offAt = HashMap<String, Double>()
        var ended: Double? = null
        var lastLeaderLine = 0.0
        for (l in lines) {
            val (at, _, text) = line.matchEntire(l)?.destructured ?: continue
            val t = at.toDoubleOrNull() ?: continue
            val f = pair.findAll(text).associate { it.groupValues[1] to it.groupValues[2] }
            val task = f["task"].orEmpty()
            when (text.substringBefore(' ')) {
                "place" -> {
                    val c = f["class"] ?: continue
                    classOf[task] = c
                    val s = r.classes.getOrPut(c) { ClassSums() }
                    s.places++
                    if (f["cached"] == "false") s.uncached++
                    val off = offAt.remove(task)
                    if (off != null) {
                        s.again++
                        s.away += t - off
                    }
                }
                "off" -> if (classOf[task] != null) offAt[task] = t
                "stop" ->
                    classOf[task]?.let {
                        r.classes
                            .getValue(it)
                            .stops
                            .merge(f["reason"] ?: "?", 1, Int::plus)
                    }
                "ready" ->
                    f["class"]?.let { c ->
                        val s = r.chains.getOrPut(c) { ChainSums() }
                        s.ready++
                        s.held += f["held-s"]?.toDoubleOrNull() ?: 0.0
                    }
                "cut" -> f["class"]?.let { c -> r.chains.getOrPut(c) { ChainSums() }.cut++ }
                "give-up" -> r.giveUps.merge(f["reason"] ?: "?", 1, Int::plus)
                "lease-ended" -> r.leaseEnds++
                "elected" -> {
                    r.terms++
                    if (r.terms > 1) r.leaderless += t - (ended ?: lastLeaderLine)
                    ended = null
                }
                "leadership" -> ended = t
            }
            if (text.startsWith("direct ") || text.startsWith("store ") || text.startsWith("place ")) lastLeaderLine = t
        }
        return r
    }

    fun text(r: Result): String =
        buildString {
            appendLine("class                places  uncached  again  s-away-each  stops by reason")
            for ((name, s) in r.classes) {
                val away = if (s.again == 0) 0.0 else s.away / s.again
                appendLine("%-20s %6d  %8d  %5d  %11.1f  %s".format(name, s.places, s.uncached, s.again, away, s.stops))
            }
            if (r.chains.isNotEmpty()) appendLine("waited for others     ready  s-held-each  aborted with another")
            for ((name, s) in r.chains) {
                appendLine(
                    "%-20s %6d  %11.1f  %20d".format(
                        name, s.ready,
                        if (s.ready ==
                            0
                        ) {
                            0.0
                        } else {
                            s.held / s.ready
                        },
                        s.cut,
                    ),
                )
            }
            appendLine("machines given up: ${r.giveUps}")
            appendLine(
                "leases ended: ${r.leaseEnds}; terms of leadership: ${r.terms}; seconds between them: %.1f"
                    .format(r.leaderless),
            )
        }
}
