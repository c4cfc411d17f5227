package glenspool.core

import glenspool.core.model.Amount
import glenspool.standin.Driven
import glenspool.standin.bigType
import glenspool.standin.config
import glenspool.standin.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/**
 * PROTOCOL: "Direct commands do not renew the lease." What a worker is given that can't report is lost with its lease.
 */
class OwnReportTest : Driven(config(), SchedulerHooks(newWorkNeedsOwnReport = true)) {
    private val whole = Amount(14.0, 4.0, 50.0)

    private fun placed() =
        core.jobs
            .getValue("a")
            .placements.values
            .map { it.machine }
            .toSet()

    @Test
    fun `a machine that only answers questions gets no work until its own report comes`() {
        step { typesKnown(listOf(bigType)) }
        list(listOf("m1", "m2"))
        say(report("m1"))
        step { probed("m2", report("m2")) }
        submit(job("a", tasks = 2, need = whole))
        wait(2.seconds)
        assertEquals(setOf("m1"), placed())
        confirm()
        say(report("m2"))
        wait(2.seconds)
        assertEquals(setOf("m1", "m2"), placed())
    }

    @Test
    fun `a machine whose reports stay away gets no more work, however well it answers`() {
        started(2)
        wait(6.seconds)
        say(report("m1"))
        step { probed("m2", report("m2")) }
        submit(job("a", tasks = 2, need = whole))
        wait(2.seconds)
        assertEquals(setOf("m1"), placed())
    }
}
