package glenspool.reconcile

import glenspool.core.LargeFleet
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.Resources
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

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
        fleet.step { machineTypesRead(listOf(bigType)) }
        names.chunked(8).forEachIndexed { number, machinesOfJob ->
            val wholeMachine = Resources(14.0, 4.0, 50.0)
            val spec = job("j$number", tasks = 8, resourceRequest = wholeMachine, estimatedDuration = 1000.seconds)
            fleet.submitRunning(spec, machinesOfJob)
        }
        val listed = names.map { ListedMachine(it, "addr-$it", "big", "a", false, MachineStage.RUNNING, 100.seconds) }
        val tick = 250.milliseconds
        val groups = names.chunked(machines / (config().heartbeatInterval / tick).toInt())
        var ticks = 0
        while (fleet.now < limit) {
            fleet.now += tick
            groups[ticks++ % groups.size].forEach(fleet::sendHeartbeat)
            fleet.step {
                machinesListed(listed)
                tick()
            }
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
