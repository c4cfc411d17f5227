package glenspool.reconcile

import glenspool.core.LargeFleet
import glenspool.simulation.config
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Guards against a recovery that never admits destructive orders, because a large fleet's heartbeats arrive faster than
 * they are compared.
 */
class LargeFleetRecoveryTest {
    private val timings = RecoveryTimings(config().lease, config().heartbeatInterval, config().listLag)

    /** Returns when the recovery of a fleet without any difference ended, or null if it goes on after [limit]. */
    private fun endOfRecovery(machines: Int, limit: Duration): Duration? {
        val engine = RecoveryEngine(RecoveryPolicy(), timings, LargeFleet.TOKEN, Duration.ZERO, StartKind.COLD)
        val fleet = LargeFleet(engine.hooks)
        val names = (1..machines).map { "m$it" }
        fleet.startFull(names)
        val tick = 250.milliseconds
        val groups = names.chunked(machines / (config().heartbeatInterval / tick).toInt())
        var ticks = 0
        while (fleet.now < limit) {
            fleet.now += tick
            groups[ticks++ % groups.size].forEach(fleet::sendHeartbeat)
            fleet.list(names)
            fleet.step { tick() }
            engine.tick(fleet.now)
            if (!engine.isActive) return fleet.now
        }
        return null
    }

    @Test
    fun `the recovery of any fleet without differences ends within two leases`() {
        val limit = timings.lease * 2
        val ends = listOf(40, 400, 1000, 4000).associateWith { endOfRecovery(it, limit) }
        assertEquals(emptyMap<Int, Duration?>(), ends.filterValues { it == null }, "$ends")
    }
}
