package glenspool.core

import glenspool.core.model.FinalState
import glenspool.core.model.JobRecord
import glenspool.core.model.Priority
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.BitSet
import java.util.Random
import kotlin.time.Duration.Companion.seconds

/** Compares random dependency chains with a simple, slow reference model. */
class JobDependenciesModelTest : SchedulerTestBase() {
    /** The submitted jobs in the order of their acceptance, and their stored state. */
    private class Model(seed: Long) {
        val random = Random(seed)
        val dependencies = LinkedHashMap<String, List<String>>()
        val finalStates = HashMap<String, FinalState>()
        val cancelled = HashSet<String>()
        val priorities = HashMap<String, Priority>()

        fun liveJobs(): List<String> = dependencies.keys.filter { it !in finalStates }

        fun isAborted(id: String): Boolean =
            when (finalStates[id]) {
                FinalState.DONE -> false
                FinalState.CANCELLED -> true
                null -> id in cancelled || dependencies.getValue(id).any(::isAborted)
            }

        fun isReady(id: String): Boolean = dependencies.getValue(id).all { finalStates[it] == FinalState.DONE }

        fun effectivePriority(id: String): Priority {
            val waiting = liveJobs().filter { id in dependencies.getValue(it) && !isAborted(it) && !isReady(it) }
            return (waiting.map(::effectivePriority) + priorities.getValue(id)).max()
        }

        fun accept(number: Int): String {
            val id = "j-${random.nextInt(1000)}-$number"
            dependencies[id] = randomDependencies()
            priorities[id] = Priority.entries[random.nextInt(3)]
            return id
        }

        private fun randomDependencies(): List<String> {
            val candidates = dependencies.keys.toList().takeLast(8)
            if (candidates.isEmpty() || random.nextInt(3) == 0) return emptyList()
            return List(1 + random.nextInt(3)) { candidates[random.nextInt(candidates.size)] }.distinct()
        }

        fun pickRandom(ids: List<String>): String? = if (ids.isEmpty()) null else ids[random.nextInt(ids.size)]
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12])
    fun `random dependency chains are released, aborted and prioritized as in the reference model`(seed: Long) {
        val model = Model(seed)
        // The first 40 jobs were stored before this leader was elected. They are read in the order of their names, not
        // of their acceptance.
        val storedBefore = ArrayList<String>()
        repeat(120) { number ->
            val id = model.accept(number)
            if (number < 40) storedBefore.add(id) else readJob(model, id)
            if (number == 39) readStoredJobs(model, storedBefore)
            storeRandomChange(model, isLeading = number >= 39)
            if (number >= 40) assertMatches(model, "seed $seed, job $number")
        }
        val finalStates = model.finalStates.values
        assertTrue(
            finalStates.count { it == FinalState.DONE } > 10 &&
                finalStates.count { it == FinalState.CANCELLED } > 3,
        )
    }

    private fun readJob(model: Model, id: String) {
        val spec = job(id, priority = model.priorities.getValue(id))
        val record = JobRecord(spec, now, 0, BitSet(), emptyList(), model.dependencies.getValue(id))
        step { jobRecordRead(record, ++revision) }
    }

    private fun readStoredJobs(model: Model, ids: List<String>) {
        for (id in ids.sorted()) if (id !in model.finalStates) readJob(model, id)
        for (id in ids) if (id in model.cancelled && id !in model.finalStates) cancel(id)
    }

    /** Stores a final state or a cancellation. The scheduler receives it if it leads. */
    private fun storeRandomChange(model: Model, isLeading: Boolean) {
        val live = model.liveJobs()
        when (model.random.nextInt(5)) {
            0, 1, 2 -> {
                val id = model.pickRandom(live.filter { model.isReady(it) && !model.isAborted(it) })
                if (id != null) storeFinalState(model, id, FinalState.DONE, isLeading)
            }
            3 -> {
                val id = model.pickRandom(live.filter(model::isAborted))
                if (id != null) storeFinalState(model, id, FinalState.CANCELLED, isLeading)
            }
            else ->
                if (model.random.nextInt(3) == 0) {
                    val id = model.pickRandom(live.filter { !model.isAborted(it) })
                    if (id != null) storeCancellation(model, id, isLeading)
                }
        }
        if (isLeading) answerRequests(model)
    }

    private fun storeFinalState(model: Model, id: String, state: FinalState, isLeading: Boolean) {
        model.finalStates[id] = state
        if (isLeading) step { jobRemoved(id) }
    }

    private fun storeCancellation(model: Model, id: String, isLeading: Boolean) {
        model.cancelled.add(id)
        if (isLeading) cancel(id)
    }

    /** Answers the scheduler's requests for final states. Some answers are lost, but all of them arrive in the end. */
    private fun answerRequests(model: Model) {
        var requested = advanceTime(1.seconds).finalStatesRequested()
        var rounds = 0
        while (requested.isNotEmpty()) {
            assertTrue(++rounds < 200, "the final states of $requested are requested without end")
            val answered = requested.filter { model.random.nextInt(4) > 0 && it in model.finalStates }
            val finalStates = answered.associateWith { model.finalStates.getValue(it) }
            val actions = step { finalStatesRead(requested, finalStates) } + advanceTime(2.seconds)
            requested = actions.finalStatesRequested()
        }
    }

    private fun List<Action>.finalStatesRequested() = filterIsInstance<ReadFinalStates>().flatMap { it.jobs }

    private fun assertMatches(model: Model, context: String) {
        for (id in model.liveJobs()) {
            val dependencies = model.dependencies.getValue(id)
            val waiting = core.dependencies[id]
            val shouldWait = dependencies.isNotEmpty() && !model.isReady(id)
            assertEquals(shouldWait, waiting != null, "$context: $id waits")
            assertEquals(!shouldWait, id in core.jobs, "$context: $id is released")
            val abortedBy = waiting?.abortedBy
            if (waiting != null) {
                assertEquals(dependencies.any(model::isAborted), abortedBy != null, "$context: $id is aborted")
            }
            if (abortedBy == null) {
                val priority = core.job(id)?.effectivePriority
                assertEquals(model.effectivePriority(id), priority, "$context: priority of $id")
            }
        }
    }
}
