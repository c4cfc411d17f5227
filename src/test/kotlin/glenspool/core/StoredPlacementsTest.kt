package glenspool.core

import glenspool.controller.Transaction
import glenspool.controller.transactionOf
import glenspool.core.model.Command
import glenspool.core.model.ExitReason
import glenspool.core.model.ForgetTask
import glenspool.core.model.JobRecord
import glenspool.core.model.Resources
import glenspool.core.model.StartTask
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.simulation.config
import glenspool.simulation.job
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource
import java.util.BitSet
import java.util.Random
import java.util.stream.LongStream
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * After every prefix of a leader's transactions, each task whose start may have been sent is placed by the stored record
 * or by one of the parts that it lists, on the machine and with the attempt of its newest start. Otherwise the next
 * leader would start the task a second time while it runs.
 */
class StoredPlacementsTest {
    /** Guards against a running task that no stored value places while its job's record is split (review/4). */
    @ParameterizedTest
    @MethodSource("seeds")
    fun `a leader that ends after any transaction leaves a stored place for every task that may run`(seed: Long) {
        val random = Random(seed)
        val limits = LIMITS[random.nextInt(LIMITS.size)]
        val run = GrowingArray(seed, random, limits, tasks = 500 + random.nextInt(4000))
        run.play()
        assertTrue(run.transactions > 10, "seed $seed: ${run.transactions} transactions")
    }

    private class Limits(val valueBytes: Int, val changes: Int)

    /** An array that grows with its fleet, while its tasks end and are placed anew and transactions fail. */
    private class GrowingArray(private val seed: Long, private val random: Random, limits: Limits, tasks: Int) :
        SplitRecordTestBase(
            config(txnOps = limits.changes).copy(valueBytes = limits.valueBytes, writeRps = 1000.0),
            job("wide", tasks = tasks, resourceRequest = TASK, estimatedDuration = 1000.seconds),
        ) {
        private val workers = LinkedHashMap<String, LinkedHashMap<StoredPlacement, TaskStatus>>()

        /** The newest start of each task that may run. */
        private val started = HashMap<Int, StoredPlacement>()
        private var inFlight: StoreChanges? = null
        private val lateTransactions = ArrayList<Transaction>()
        private var machineCount = 0

        /** The number of transactions that were applied. */
        var transactions = 0
            private set

        init {
            state.maxValueBytes = limits.valueBytes
            state.maxChangesPerTransaction = limits.changes
        }

        fun play() {
            startFleet(0)
            step { splitRecordSupportChecked(true) }
            val record = JobRecord(wideJob, now, 0, BitSet(), emptyList())
            state.transact(emptyMap(), listOf(Put(Keys.job(wideJob.id), RecordWire.encode(record))), emptyList())
            perform(step { jobRecordRead(record, state.revision) })
            repeat(STEPS) {
                playStep()
                now += 100.milliseconds
                perform(step { tick() })
            }
        }

        private fun playStep() {
            if (inFlight != null && random.nextInt(3) > 0) endTransaction()
            when (random.nextInt(13)) {
                in 0..3 -> repeat(minOf(1 + random.nextInt(30), MAX_MACHINES - machineCount)) { addMachine() }
                in 4..6 -> randomMachine()?.let(::sendHeartbeat)
                in 7..8 -> randomMachine()?.let { endTasks(it, ExitReason.STOPPED) }
                9 -> randomMachine()?.let { endTasks(it, ExitReason.DONE) }
                10 -> if (random.nextInt(4) == 0) randomMachine()?.let(::loseMachine)
                11 -> if (random.nextInt(8) == 0) perform(step { setSplittingForbidden(random.nextBoolean()) })
                else -> if (lateTransactions.isNotEmpty()) applyLate(lateTransactions.removeAt(0))
            }
        }

        private fun randomMachine(): String? {
            if (workers.isEmpty()) return null
            return workers.keys.elementAt(random.nextInt(workers.size))
        }

        private fun addMachine() {
            val machine = machineId(++machineCount)
            workers[machine] = LinkedHashMap()
            sendHeartbeat(machine)
        }

        private fun sendHeartbeat(machine: String) {
            val (commands, actions) = receiveHeartbeat(heartbeat(machine, workers.getValue(machine).values.toList()))
            execute(machine, commands)
            perform(actions)
        }

        private fun endTasks(machine: String, reason: ExitReason) {
            val tasks = workers.getValue(machine)
            for ((placement, status) in tasks.toMap()) {
                if (status.state == TaskState.EXITED || random.nextBoolean()) continue
                tasks[placement] = status.copy(state = TaskState.EXITED, exit = reason)
                started.remove(placement.task, placement)
            }
            sendHeartbeat(machine)
        }

        private fun loseMachine(machine: String) {
            workers.remove(machine)
            started.values.removeIf { it.machine == machine }
            perform(step { deletionEnded(listOf(machine), true) })
        }

        private fun execute(machine: String, commands: List<Command>) {
            val tasks = workers[machine] ?: return
            for (command in commands) {
                val placement = StoredPlacement(command.key.task, command.attempt, machine)
                when (command) {
                    is StartTask -> {
                        started[command.key.task] = placement
                        tasks.putIfAbsent(placement, runningTask(wideJob.id, command.key.task, command.attempt))
                    }
                    is ForgetTask -> tasks.remove(placement)
                    else -> Unit
                }
            }
            if (commands.any { it is StartTask }) verify()
        }

        private fun perform(actions: List<Action>) {
            for (action in actions) {
                when (action) {
                    is StoreChanges -> inFlight = action
                    is SendCommands -> executeRequest(action)
                    else -> Unit
                }
            }
        }

        private fun executeRequest(request: SendCommands) {
            val tasks = workers[request.machine] ?: return
            execute(request.machine, request.commands)
            perform(commandsExecuted(request, *tasks.values.toTypedArray()))
        }

        /** Ends the transaction in flight in one of the ways in which the store may answer, or not answer. */
        private fun endTransaction() {
            val changes = inFlight ?: return
            inFlight = null
            val transaction = transactionOf(0, changes)
            when (random.nextInt(10)) {
                0 -> perform(step { transactionEnded(StoreOutcome.Refused(emptySet())) })
                1 -> perform(step { transactionEnded(StoreOutcome.Unknown) })
                2 -> {
                    lateTransactions.add(transaction)
                    perform(step { transactionEnded(StoreOutcome.Unknown) })
                }
                3 -> {
                    apply(transaction)
                    readRecord()
                    perform(step { transactionEnded(StoreOutcome.Unknown) })
                }
                else -> {
                    val isApplied = apply(transaction)
                    if (!isApplied) readRecord()
                    val outcome =
                        if (isApplied) StoreOutcome.Stored(state.revision) else StoreOutcome.Refused(setOf("job"))
                    perform(step { transactionEnded(outcome) })
                }
            }
        }

        /** A transaction without an answer is applied after newer ones, if its conditions still hold. */
        private fun applyLate(transaction: Transaction) {
            if (apply(transaction)) readRecord()
        }

        private fun apply(transaction: Transaction): Boolean {
            if (state.transact(transaction.conditions, transaction.puts, transaction.removes) != null) return false
            transactions++
            verify()
            return true
        }

        private fun readRecord() {
            val version = state.entries.getValue(Keys.job(wideJob.id)).version
            step { jobRecordRead(storedRecord(), version) }.also(::perform)
        }

        /** What a new leader reads now places every task that may run where its newest start was sent. */
        private fun verify() {
            if (started.isEmpty()) return
            val next = Scheduler(core.config, TOKEN + 1, now)
            next.step(now, now) { jobRecordRead(storedRecord(), 1) }
            val placements = next.jobs.getValue(wideJob.id).placements.mapValues { it.value.toStored() }
            val misplaced = started.values.filter { placements[it.task] != it }
            assertEquals(emptyList<StoredPlacement>(), misplaced.take(3), "seed $seed, transaction $transactions")
        }
    }

    private companion object {
        val TASK = Resources(0.4, 0.0, 1.0)
        const val STEPS = 200
        const val MAX_MACHINES = 150

        /** The smallest limits of the deployments, and smaller ones, with which fewer tasks fill the record. */
        val LIMITS = listOf(Limits(1500, 4), Limits(1800, 3), Limits(2048, 4), Limits(2048, 8), Limits(4096, 8))

        @JvmStatic
        fun seeds(): LongStream = LongStream.rangeClosed(1, 20)
    }
}
