package glenspool.core

import glenspool.controller.transactionOf
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.Resources
import glenspool.core.model.StoredPlacement
import glenspool.simulation.InMemoryStore
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.wire.Fields
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.time.Duration.Companion.seconds

/** Runs a scheduler with an in-memory store whose values are so small that the record of [wideJob] is split. */
abstract class SplitRecordTestBase(settings: SchedulerConfig, protected val wideJob: JobSpec) :
    SchedulerTestBase(settings) {
    protected val state = InMemoryStore()

    protected fun machineId(number: Int): String = "i-%06d".format(number)

    protected fun startFleet(size: Int) {
        step { machineTypesRead(listOf(bigType)) }
        for (number in 1..size) heartbeatReply(machineId(number))
    }

    /** Delivers heartbeats of the first [size] machines, except those that already have a task. */
    protected fun heartbeatsOfIdleMachines(size: Int, busy: Collection<String>) {
        for (machine in (1..size).map(::machineId)) if (machine !in busy) heartbeatReply(machine)
    }

    protected fun storedValue(): Fields = state.entries.getValue(Keys.job(wideJob.id)).value

    protected fun storedRecord(): JobRecord = JobRecordReader(state).read(wideJob.id, storedValue())

    /** Returns the placements in the record and in all its parts. */
    protected fun JobRecord.allPlacements(): List<StoredPlacement> = placements + placementParts.values.flatten()

    protected fun JobRecord.machinesByTask(): Map<Int, String> = allPlacements().associate { it.task to it.machine }
}

/** Uses the smallest limits of the sites, which are values of 2 KiB and 4 changes per transaction. */
abstract class SmallValuesTestBase :
    SplitRecordTestBase(
        config(txnOps = MAX_CHANGES, peerZones = setOf("b")).copy(valueBytes = VALUE_BYTES),
        job("wide", tasks = 160, resourceRequest = Resources(14.0, 4.0, 60.0), estimatedDuration = 1000.seconds),
    ) {
    /** The number of transactions that the key-value store refused because a value was too large. */
    protected var sizeRefusals = 0
        private set

    init {
        state.maxValueBytes = VALUE_BYTES
        state.maxChangesPerTransaction = MAX_CHANGES
    }

    /** Stores changes in the given number of rounds, as the key-value store does. Returns all other actions. */
    protected fun storeAll(first: List<Action>, rounds: Int = 60): List<Action> {
        val otherActions = ArrayList<Action>()
        var actions = first
        repeat(rounds) {
            val changes = actions.filterIsInstance<StoreChanges>().singleOrNull()
            otherActions += actions.filter { it !is StoreChanges }
            actions = if (changes == null) advanceTime(1.seconds) else transact(changes)
        }
        return otherActions
    }

    private fun transact(changes: StoreChanges): List<Action> {
        val transaction = transactionOf(0, changes)
        assertTrue(transaction.puts.size + transaction.removes.size <= 4)
        if (transaction.puts.any(state::isTooLarge)) {
            sizeRefusals++
            return step { transactionEnded(StoreOutcome.TooLarge()) }
        }
        state.transact(emptyMap(), transaction.puts, transaction.removes)
        return confirmTransaction()
    }

    protected companion object {
        const val VALUE_BYTES = 2048
        const val MAX_CHANGES = 4
    }
}
