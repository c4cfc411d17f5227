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
 * Runs three complete controllers, to which workers are connected over sockets. All controllers are killed, differences
 * are planted, and the controllers are started again.
 */
class ColdStartOverSocketsTest {
    @TempDir
    lateinit var dir: File
    private val names = listOf("bobbin-0", "bobbin-1", "bobbin-2")
    private val policy = RecoveryPolicy(rates = RepairRates(stops = 0.02))

    /** The recovery's status as reported by the leader. */
    private fun LoopbackService.status(): RecoveryStatus.Recovery? {
        val status = leader?.let { recoveryReply(it, RecoveryVerb.STATUS).status }
        return status?.recovery
    }

    private fun LoopbackService.isOrderAccepted(verb: RecoveryVerb): Boolean {
        val leader = leader ?: return false
        return recoveryReply(leader, verb).accepted
    }

    /** Returns the names of the tasks that the leader lists as unrecorded. */
    private fun LoopbackService.listedUnrecordedTasks(): Set<String> {
        val list = leader?.let { recoveryReply(it, RecoveryVerb.DIFFERENCES).differences } ?: return emptySet()
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
            workers = WORKER_COUNT,
            heartbeatInterval = 1500.milliseconds,
            lease = 30.seconds,
            runTime = 1.hours,
            steadyLoad = false,
        )

    private fun arrayJob(number: Int) =
        job(
            "run-%06d".format(number),
            JobKind.ARRAY,
            WORKER_COUNT * TASKS_PER_WORKER / JOB_COUNT,
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
            repeat(JOB_COUNT) { number -> service.submitJob(arrayJob(number)) }
            service.await("all tasks run", 60.seconds) {
                val running = service.fleet.names.sumOf { service.fleet.tasksOn(it).size }
                running == WORKER_COUNT * TASKS_PER_WORKER
            }
            val firstLeader = checkNotNull(service.leader)
            val firstStatus = service.recoveryReply(firstLeader, RecoveryVerb.STATUS).status
            assertTrue(firstStatus?.recovery == null, "the first start needs no recovery")

            names.forEach(service::kill)
            val machines = service.fleet.names.shuffled(random)
            val lostTasks = machines.take(6).flatMap { machine -> service.fleet.tasksOn(machine).map { machine to it } }
            machines.take(6).forEach(service.fleet::expireLease)
            val unrecordedTasks =
                machines.drop(6).take(5).mapIndexed { number, machine ->
                    machine to TaskKey("run-9%05d".format(number), 0)
                }
            unrecordedTasks.forEach { (machine, key) -> service.fleet.addUnorderedTask(machine, key, 3) }
            val duplicateTasks =
                machines.drop(20).take(4).map { machine ->
                    val owner = machines[40 + random.nextInt(20)]
                    machine to service.fleet.tasksOn(owner).first()
                }
            duplicateTasks.forEach { (machine, key) -> service.fleet.addUnorderedTask(machine, key, 9) }
            val machinesWithoutHeartbeats = machines.drop(30).take(3)
            machinesWithoutHeartbeats.forEach { service.fleet.setSilent(it, true) }
            service.fleet.executedCommands.clear()
            service.fleet.deletedMachines.set(0)
            service.fleet.rentRequests.set(0)

            val restartedAt = service.now
            names.forEach { service.start(it) }
            service.await("an operator's pause is accepted") { service.isOrderAccepted(RecoveryVerb.PAUSE) }
            service.await("every unrecorded task is listed by name") {
                service.listedUnrecordedTasks() == unrecordedTasks.map { (_, key) -> "${key.job}/${key.task}" }.toSet()
            }
            // A follower's refusal names the leader. The leader is killed during the recovery; the next leader
            // continues it in the paused state.
            val leader = checkNotNull(service.leader)
            val follower = names.first { it != leader }
            val refusal = service.recoveryReply(follower, RecoveryVerb.APPROVE)
            assertEquals("$follower does not lead; ask $leader", refusal.problem)
            service.kill(leader)
            service.await("another controller leads and continues the recovery") {
                val hasNewLeader = service.leader.let { it != null && it != leader }
                hasNewLeader && service.status()?.start == "continued"
            }
            val stops = service.fleet.executedCommands.filter { it.verb == "stop" }
            assertTrue(stops.isEmpty(), "nothing is stopped while the recovery is paused")
            service.start(leader)
            service.await("an operator's order to resume is accepted") { service.isOrderAccepted(RecoveryVerb.RESUME) }
            machinesWithoutHeartbeats.forEach { service.fleet.setSilent(it, false) }
            service.await("the recovery is over", 60.seconds) { service.status()?.phase == "normal" }
            assertFalse(service.isOrderAccepted(RecoveryVerb.APPROVE), "there is nothing to approve after the recovery")

            val orderCounts = service.leader?.let { service.recoveryReply(it, RecoveryVerb.STATUS).status?.orders }
            println("cold start over sockets: orders of the last term $orderCounts")
            val received = service.fleet.executedCommands.toList()

            fun receivedTasks(verb: String) = received.filter { it.verb == verb }.map { "${it.machine to it.key}" }
            assertEquals(lostTasks.map { "$it" }.sorted(), receivedTasks("run").sorted())
            assertEquals((unrecordedTasks + duplicateTasks).map { "$it" }.sorted(), receivedTasks("stop").sorted())
            assertEquals(0 to 0, service.fleet.deletedMachines.get() to service.fleet.rentRequests.get())
            val orders =
                received.map {
                    val cause: OrderCause = if (it.verb == "run") StartCause.PLACED else StopCause.ORPHANED
                    ReceivedOrder(it.at, cause)
                }
            assertEquals(emptyList<String>(), OrderRateChecker(policy.rates, WORKER_COUNT).violations(orders))
            val differences = lostTasks.size + unrecordedTasks.size + duplicateTasks.size
            val seconds = (service.now - restartedAt).toSeconds()
            println("cold start over sockets: ${received.size} orders for $differences differences, over $seconds s")
        }
    }

    private fun Duration.toSeconds() = inWholeMilliseconds / MILLISECONDS_PER_SECOND

    private companion object {
        const val WORKER_COUNT = 150
        const val TASKS_PER_WORKER = 4
        const val JOB_COUNT = 30
        const val MILLISECONDS_PER_SECOND = 1000.0
    }
}
