package glenspool.http

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class PassTimerTest {
    private var now = Duration.ZERO
    private val passes = PassTimer { now }

    @Test
    fun `what comes in waits for one pass and its turn in the next`() {
        assertEquals(Duration.ZERO, passes.lag())
        passes.begin()
        now += 2.seconds
        assertEquals(2.seconds, passes.lag())
        passes.end()
        assertEquals(2.seconds, passes.lag())
        // Nothing to do for a while: that is no lag.
        now += 5.seconds
        passes.begin()
        now += 1.seconds
        assertEquals(3.seconds, passes.lag())
        passes.end()
        assertEquals(1.seconds, passes.lag())
    }
}
