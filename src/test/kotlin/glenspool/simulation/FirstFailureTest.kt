package glenspool.simulation

import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

class FirstFailureTest {
    /** Guards against the exit of a controller that replaces the failure which led to it. */
    @Test
    fun `of two failures in one run the first one is reported`() {
        val failures = FirstFailure()
        failures.rethrow()
        val cause = IllegalStateException("cause")
        failures.record(cause)
        failures.record(IllegalStateException("controller requested the exit of its process"))
        assertSame(cause, assertThrows(IllegalStateException::class.java, failures::rethrow))
    }
}
