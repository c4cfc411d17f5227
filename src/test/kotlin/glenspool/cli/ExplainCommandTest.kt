package glenspool.cli

import glenspool.simulation.CapturedRun
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File

class ExplainCommandTest {
    @TempDir
    lateinit var dir: File

    private fun run(vararg args: String) = CapturedRun.of { execute(listOf("explain") + args) }

    @Test
    fun `placements, moves and stops are summarized by class`() {
        val scan = LogSummary.of(LOG.lineSequence()).placements.getValue("scan")
        assertEquals(2, scan.placements)
        assertEquals(1, scan.uncached)
        assertEquals(1, scan.replacements)
        assertEquals(5.5, scan.secondsWithoutPlacement, 1e-9)
        assertEquals(mapOf("PREEMPTED" to 1), scan.stops)
    }

    @Test
    fun `jobs with dependencies are summarized by class`() {
        val label = LogSummary.of(LOG.lineSequence()).dependencies.getValue("label")
        assertEquals(2, label.done)
        assertEquals(8.0, label.secondsWaited)
        assertEquals(1, label.aborted)
    }

    @Test
    fun `deleted machines, expired leases and the time without a leader are summarized`() {
        val summary = LogSummary.of(LOG.lineSequence())
        assertEquals(mapOf("silent" to 1), summary.deletedMachines)
        assertEquals(1, summary.expiredLeases)
        assertEquals(2, summary.terms)
        assertEquals(2.5, summary.leaderlessSeconds, 1e-9)
    }

    @Test
    fun `decisions about missing tasks and requested machines are summarized`() {
        val log =
            """
            1.0 n0 DEBUG ActionExecutor - missing-task task=run-1/0 attempt=1 class=scan decision=restored obstacle=null
            2.0 n0 DEBUG ActionExecutor - missing-task task=run-1/1 attempt=1 class=scan decision=waiting obstacle=null
            3.0 n0 INFO ActionExecutor - missing-task task=run-1/1 class=scan decision=placed-anew obstacle=cordoned
            4.0 n0 INFO ActionExecutor - scale-out-planned request=r-2-1 causes=backlog:3,headroom:1 jobs=2
            5.0 n0 INFO ActionExecutor - scale-out-planned request=r-2-2 causes=backlog:2 jobs=1
            """.trimIndent()
        val summary = LogSummary.of(log.lineSequence())
        assertEquals(mapOf("placed-anew cordoned" to 1, "restored" to 1, "waiting" to 1), summary.missingTasks)
        assertEquals(mapOf("backlog" to 5, "headroom" to 1), summary.requestedMachines)
    }

    @Test
    fun `the summary of a log is printed`() {
        val log = File(dir, "log").also { it.writeText(LOG) }
        val expected =
            """
            class                places  uncached  again  s-away-each  stops by reason
            scan                      2         1      1          5.5  {PREEMPTED=1}
            waited for others     ready  s-held-each  aborted with another
            label                     2          4.0                     1
            machines given up: {silent=1}
            leases ended: 1; terms of leadership: 2; seconds between them: 2.5

            """.trimIndent()
        assertEquals(expected, run(log.path).out)
    }

    @Test
    fun `explain without an argument is a usage error, and a missing log file is reported`() {
        assertEquals(2, run().code)
        assertTrue(run(File(dir, "absent").path).err.contains("no such file"))
    }

    private companion object {
        val LOG =
            """
                1.0 n0 INFO Leadership - elected token=1 revision=1
                2.0 n0 DEBUG CoreLoop - place task=run-1/0 attempt=1 class=scan machine=i-1 cached=false waited=1s
                3.0 n0 DEBUG CoreLoop - stop task=run-1/0 attempt=1 machine=i-1 reason=PREEMPTED grace=0s
                4.0 n0 DEBUG CoreLoop - unplace task=run-1/0 attempt=1 machine=i-1 was=RUNNING
                9.5 n0 DEBUG CoreLoop - place task=run-1/0 attempt=2 class=scan machine=i-2 cached=true waited=8.5s
                12.0 n1 INFO Leadership - elected token=2 revision=9
                13.0 n1 INFO CoreLoop - delete-machine machine=i-2 reason=silent tasks=1 heard=null now=1s
                13.5 n1 INFO CoreLoop - lease-expired machine=i-2
                14.0 n1 DEBUG CoreLoop - dependencies-done job=run-2 class=label waited-s=3.5
                14.5 n1 DEBUG CoreLoop - dependencies-done job=run-3 class=label waited-s=4.5
                15.0 n1 DEBUG CoreLoop - abort job=run-4 class=label by=run-1
            not a log line
            """.trimIndent()
    }
}
