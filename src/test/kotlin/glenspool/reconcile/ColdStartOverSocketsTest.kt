package glenspool.reconcile

import glenspool.core.OrderCause
import glenspool.core.StartCause
import glenspool.core.StopCause
import glenspool.core.model.JobKind
import glenspool.core.model.Resources
import glenspool.core.model.TaskKey
import glenspool.peer.RecoveryStatus
import glenspool.peer.RecoveryVerb
import glenspool.simulation.LoopbackService
import glenspool.simulation.OrderRateChecker
import glenspool.simulation.ReceivedOrder
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.io.File
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Three controllers with their real wiring and workers with real connections: all end, and what differs after the
 * return was planted.
 */
class ColdStartOverSocketsTest {
    @TempDir
    lateinit var dir: File
    private val names = listOf("bobbin-0", "bobbin-1", "bobbin-2")
    private val policy = RecoveryPolicy(rates = RepairRates(stops = 0.02))

    /** The recovery as the leader shows it. */
    private fun LoopbackService.status(): RecoveryStatus.Recovery? {
        val status = leader?.let { recovery(it, RecoveryVerb.STATUS).status }
        return status?.recovery
    }

    private fun LoopbackService.isOrderAccepted(verb: RecoveryVerb): Boolean {
        val leader = leader ?: return false
        return recovery(leader, verb).accepted
    }

    /** The names of tasks that the leader lists as unrecorded. */
    private fun LoopbackService.unrecorded(): Set<String> {
        val list = leader?.let { recovery(it, RecoveryVerb.DIFFERENCES).differences } ?: return emptySet()
        return list.listed
            .filter { it.kind == "orphan-task" && "knows no such job" in it.detail }
            .mapNotNull { it.task }
            .toSet()
    }

    private fun service() =
        LoopbackService(
            dir,
            null,
            seed = 3,
            recovery = policy,
            workers = WORKERS,
            heartbeatInterval = 1500.milliseconds,
            lease = 30.seconds,
            runTime = 1.hours,
            steadyLoad = false,
        )

    private fun arrayJob(number: Int) =
        job(
            "run-%06d".format(number),
            JobKind.ARRAY,
            WORKERS * SLOTS / JOBS,
            Resources(1.0, 1.0, 4.0),
            "a",
            imageGb = 0.0,
            estimatedDuration = 1.hours,
        )

    @Test
    fun `after a cold start exactly the orders that the planted differences need arrive, within the rate limits`() {
        val random = Random(11)
        service().use { service ->
            names.forEach { service.start(it) }
            repeat(JOBS) { number -> service.submitJob(arrayJob(number)) }
            service.await("all tasks run", 60.seconds) {
                val running = service.fleet.names.sumOf { service.fleet.tasksOn(it).size }
                running == WORKERS * SLOTS
            }
            val first = checkNotNull(service.leader)
            val firstStatus = service.recovery(first, RecoveryVerb.STATUS).status
            assertTrue(firstStatus?.recovery == null, "the first start is no recovery")

            names.forEach(service::kill)
            val machines = service.fleet.names.shuffled(random)
            val lost = machines.take(6).flatMap { machine -> service.fleet.tasksOn(machine).map { machine to it } }
            machines.take(6).forEach(service.fleet::loseLease)
            val unrecorded =
                machines.drop(6).take(5).mapIndexed { number, machine ->
                    machine to TaskKey("run-9%05d".format(number), 0)
                }
            unrecorded.forEach { (machine, key) -> service.fleet.plant(machine, key, 3) }
            val duplicates =
                machines.drop(20).take(4).map { machine ->
                    val owner = machines[40 + random.nextInt(20)]
                    machine to service.fleet.tasksOn(owner).first()
                }
            duplicates.forEach { (machine, key) -> service.fleet.plant(machine, key, 9) }
            val mute = machines.drop(30).take(3)
            mute.forEach { service.fleet.mute(it, true) }
            service.fleet.carriedOut.clear()
            service.fleet.deleted.set(0)
            service.fleet.rented.set(0)

            val back = service.now
            names.forEach { service.start(it) }
            service.await("an operator's pause is taken") { service.isOrderAccepted(RecoveryVerb.PAUSE) }
            service.await("every unrecorded task is listed by name") {
                service.unrecorded() == unrecorded.map { (_, key) -> "${key.job}/${key.task}" }.toSet()
            }
            // A follower names the leader, and the leader ends in the middle: the next goes on with the recovery, and
            // it is still paused.
            val leader = checkNotNull(service.leader)
            val follower = names.first { it != leader }
            val refusal = service.recovery(follower, RecoveryVerb.APPROVE)
            assertEquals("$follower does not lead; ask $leader", refusal.problem)
            service.kill(leader)
            service.await("another leads and goes on with the recovery") {
                val hasNewLeader = service.leader.let { it != null && it != leader }
                hasNewLeader && service.status()?.start == "continued"
            }
            val stops = service.fleet.carriedOut.filter { it.verb == "stop" }
            assertTrue(stops.isEmpty(), "nothing is stopped while the recovery is paused")
            service.start(leader)
            service.await("an operator's order to go on is taken") { service.isOrderAccepted(RecoveryVerb.RESUME) }
            mute.forEach { service.fleet.mute(it, false) }
            service.await("the recovery is over", 60.seconds) { service.status()?.phase == "normal" }
            assertFalse(service.isOrderAccepted(RecoveryVerb.APPROVE), "there is nothing to approve any more")

            val orderCounts = service.leader?.let { service.recovery(it, RecoveryVerb.STATUS).status?.orders }
            println("cold start over sockets: orders of the last term $orderCounts")
            val received = service.fleet.carriedOut.toList()

            fun receivedTasks(verb: String) = received.filter { it.verb == verb }.map { "${it.machine to it.key}" }
            assertEquals(lost.map { "$it" }.sorted(), receivedTasks("run").sorted())
            assertEquals((unrecorded + duplicates).map { "$it" }.sorted(), receivedTasks("stop").sorted())
            assertEquals(0 to 0, service.fleet.deleted.get() to service.fleet.rented.get())
            val orders =
                received.map {
                    val cause: OrderCause = if (it.verb == "run") StartCause.PLACED else StopCause.ORPHANED
                    ReceivedOrder(it.at, cause)
                }
            assertEquals(emptyList<String>(), OrderRateChecker(policy.rates, WORKERS).faults(orders))
            val differences = lost.size + unrecorded.size + duplicates.size
            val seconds = (service.now - back).rounded()
            println("cold start over sockets: ${received.size} orders for $differences differences, over $seconds s")
        }
    }

    private fun Duration.rounded() = inWholeMilliseconds / MILLISECONDS

    private companion object {
        const val WORKERS = 150
        const val SLOTS = 4
        const val JOBS = 30
        const val MILLISECONDS = 1000.0
    }
}
