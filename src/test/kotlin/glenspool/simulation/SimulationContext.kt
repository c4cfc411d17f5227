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
 * The state that all parts of a [ClusterSimulation] share, such as time, random numbers, settings and recorded
 * observations. All parts draw from the same [random], so the run of a seed depends on the order of draws and of queued
 * events.
 */
internal class SimulationContext(
    seed: Long,
    val config: SchedulerConfig,
    val machineTypes: List<MachineType>,
    val faults: FaultRates,
    /** Records all decisions of the leaders. */
    val trace: DecisionTrace?,
) {
    val random = Random(seed)
    val events = EventQueue()
    val now: Duration get() = events.now

    /** Violations of rules, each with its time and the task or job concerned. */
    val violations = ArrayList<String>()

    /** Violations that leaders have reported themselves. */
    val reportedViolations = ArrayList<String>()

    /** Orders as workers and the cloud received them. */
    val receivedOrders = ArrayList<ReceivedOrder>()

    fun after(delay: Duration, body: () -> Unit) = events.after(delay, body)

    /** Draws whether an event with this probability occurs. */
    fun chance(probability: Double): Boolean = random.nextDouble() < probability

    /** Draws the one-way delay of a message. */
    fun networkDelay(): Duration = (2 + random.nextInt(20)).milliseconds

    fun recordOrders(cause: OrderCause, count: Int = 1) =
        repeat(count) { receivedOrders.add(ReceivedOrder(now, cause)) }

    fun recordViolation(text: String) {
        violations += "$now $text"
    }

    fun teamOf(spec: JobSpec): Team = config.teams.first { it.name == spec.team }
}
