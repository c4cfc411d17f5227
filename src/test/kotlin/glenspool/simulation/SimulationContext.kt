package glenspool.simulation

import glenspool.core.OrderCause
import glenspool.core.SchedulerConfig
import glenspool.core.model.JobSpec
import glenspool.core.model.MachineType
import glenspool.core.model.Team
import glenspool.frozen.DecisionTrace
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What all parts of a [ClusterSimulation] share: time, randomness, settings, and the record of what was observed. All
 * parts draw from the one [random], so the order of draws and of queued events is part of what a seed means.
 */
internal class SimulationContext(
    seed: Long,
    val config: SchedulerConfig,
    val machineTypes: List<MachineType>,
    val faults: FaultRates,
    /** Records all that the leaders decide. */
    val trace: DecisionTrace?,
) {
    val random = Random(seed)
    val events = EventQueue()
    val now: Duration get() = events.now

    /** Rules that were broken, each with its moment and the task or job concerned. */
    val violations = ArrayList<String>()

    /** Orders as workers and the cloud received them. */
    val receivedOrders = ArrayList<ReceivedOrder>()

    fun after(delay: Duration, body: () -> Unit) = events.after(delay, body)

    /** Draws whether something happens that has this probability. */
    fun chance(probability: Double): Boolean = random.nextDouble() < probability

    /** Draws the time that a message takes one way. */
    fun networkDelay(): Duration = (2 + random.nextInt(20)).milliseconds

    fun recordOrders(cause: OrderCause, count: Int = 1) =
        repeat(count) { receivedOrders.add(ReceivedOrder(now, cause)) }

    fun recordViolation(text: String) {
        violations += "$now $text"
    }

    fun teamOf(spec: JobSpec): Team = config.teams.first { it.name == spec.team }
}
