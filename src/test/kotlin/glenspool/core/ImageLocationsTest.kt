package glenspool.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against image locations that a later leader lacks because a single write of them failed. */
class ImageLocationsTest : SchedulerTestBase() {
    private fun storeRequests(time: Duration): List<StoreImageLocations> =
        advanceTime(time).filterIsInstance<StoreImageLocations>()

    /** Runs machines with images until all their locations are stored. Returns the requests. */
    private fun storeAll(): List<StoreImageLocations> {
        startBusyMachines(3)
        return storeRequests(60.seconds)
    }

    @Test
    fun `a part that was not stored is stored again with its present content`() {
        val request = storeAll().last()
        assertEquals(emptyList<Any>(), storeRequests(20.seconds))
        step { imageLocationsNotStored(request.part) }
        assertEquals(listOf(request), storeRequests(20.seconds))
    }

    @Test
    fun `parts that can't be stored are repeated at a bounded rate, and none of them keeps others waiting`() {
        val parts = storeAll().map { it.part }.distinct()
        parts.forEach { step { imageLocationsNotStored(it) } }
        val repeated =
            List(20) {
                storeRequests(1.seconds).onEach { step { imageLocationsNotStored(it.part) } }
            }.flatten()
        assertTrue(repeated.size <= 20 / 3 + 1, "${repeated.size} writes in 20 s")
        assertEquals(parts.toSet(), repeated.map { it.part }.toSet())
    }
}
