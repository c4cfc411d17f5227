package glenspool.http

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class EventLoopTimerTest {
    private var now = Duration.ZERO
    private val timer = EventLoopTimer { now }

    @Test
    fun `the lag is the duration of the last iteration plus the time since the current one started`() {
        assertEquals(Duration.ZERO, timer.lag())
        timer.startIteration()
        now += 2.seconds
        assertEquals(2.seconds, timer.lag())
        timer.endIteration()
        assertEquals(2.seconds, timer.lag())
        // Idle time between two iterations does not count as lag.
        now += 5.seconds
        timer.startIteration()
        now += 1.seconds
        assertEquals(3.seconds, timer.lag())
        timer.endIteration()
        assertEquals(1.seconds, timer.lag())
    }
}
