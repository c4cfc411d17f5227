package glenspool.controller

import glenspool.core.model.Report
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A core that is behind must cost no worker its lease: what waits is bounded by count and by time, and answered once. */
class PendingReportsTest {
    private var now = Duration.ZERO
    private val reports = PendingReports { now }
    private val answers = ArrayList<Pair<String, Orders?>>()
    private val orders = Orders(3, emptyList())

    private fun add(machine: String) = reports.add(Report(machine, "$machine:1", "any", "here", false, 1, 1, 3, null, emptyList())) { answers.add(machine to it) }

    @Test
    fun `only so many wait, and room comes back with each answer`() {
        val all = List(PendingReports.MAX_WAITING) { add("m$it") }
        assertTrue(all.all { it != null })
        assertNull(add("too many"))
        all.first()?.complete(orders)
        assertNotNull(add("next"))
        assertNull(add("too many again"))
    }

    @Test
    fun `what the core does not get to is answered without it, once, and newer ones go on waiting`() {
        val late = add("late")
        now += PendingReports.PATIENCE - 1.milliseconds
        val newer = add("newer")
        reports.expire()
        assertEquals(emptyList<Pair<String, Orders?>>(), answers)
        now += 1.milliseconds
        reports.expire()
        assertEquals(listOf<Pair<String, Orders?>>("late" to null), answers)
        assertEquals(false, late?.complete(orders))
        assertEquals(true, newer?.complete(orders))
        assertEquals(listOf("late" to null, "newer" to orders), answers)
    }

    @Test
    fun `an answered report is forgotten and not answered again`() {
        val first = add("first")
        val second = add("second")
        assertEquals(true, first?.complete(orders))
        now += PendingReports.PATIENCE
        reports.expire()
        assertEquals(listOf("first" to orders, "second" to null), answers)
        assertFalse(second?.complete(orders) ?: true)
        assertTrue(second?.isAnswered ?: false)
    }
}
