package glenspool.core

import glenspool.core.model.ExitReason
import glenspool.core.model.FinalState
import glenspool.core.model.Priority
import glenspool.core.model.StartTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.simulation.SchedulerDriver
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.Random
import kotlin.time.Duration.Companion.seconds

/** Jobs that wait for others: each guard with its failure, and random chains against a slow plain model. */
class JobDependenciesTest : SchedulerDriver() {
    private fun List<Action>.asked() = filterIsInstance<ReadFinalStates>().flatMap { it.jobs }

    private fun List<Action>.finishes() =
        filterIsInstance<StoreChanges>()
            .flatMap { it.writes }
            .filterIsInstance<StoreFinalState>()

    @Test
    fun `a job that waits gets no place before the end of what it needs is stored`() {
        started()
        submit(job("a"))
        submit(job("b"), dependencies = listOf("a"))
        wait(1.seconds)
        val sent = confirm().filterIsInstance<SendCommands>().single()
        val start = sent.commands.single()
        assertEquals("a", start.key.job)
        step {
            commandsEnded("m1", sent, CommandOutcome.DONE, heartbeat("m1", listOf(task("a", 0, start.attempt, TaskState.RUNNING))))
        }
        // Neither the worker's result nor the change that is on its way is enough.
        val (_, seen) = say(heartbeat("m1", listOf(task("a", 0, start.attempt, TaskState.EXITED, ExitReason.DONE))))
        val before = seen + wait(3.seconds)
        assertEquals(listOf("a"), before.finishes().map { it.id })
        assertTrue(
            core.dependencies["b"].let {
                it != null &&
                    it.waitsForDependencies &&
                    it.waitingCount() == 0 &&
                    it.waitingTasks(1).isEmpty()
            },
        )
        assertTrue(before.filterIsInstance<StoreChanges>().flatMap { it.writes }.none { it.id == "b" })
        val places = confirm() + wait(1.seconds)
        assertEquals("b", (store(places).writes.single() as UpdateJobRecord).id)
        assertEquals(listOf(TaskKey("b", 0)), confirm().starts().map(StartTask::key))
    }

    @Test
    fun `a live record that is gone proves nothing, and its end is read until it is known`() {
        started()
        submit(job("a"))
        submit(job("b"), dependencies = listOf("a"))
        // As after a copy read anew: the removal alone is seen, of a job that was done or cancelled.
        assertEquals(listOf("a"), (step { jobGone("a") } + wait(1.seconds)).asked())
        assertNull(core.jobs["b"])
        // No answer: it is asked again.
        val again = step { finalStatesRead(listOf("a"), emptyMap()) } + wait(2.seconds)
        assertEquals(listOf("a"), again.asked())
        assertNull(core.jobs["b"])
        step { finalStatesRead(listOf("a"), mapOf("a" to FinalState.DONE)) }
        assertFalse(core.jobs.getValue("b").waitsForDependencies)
    }

    @Test
    fun `what waits for a cancelled job is closed with it, however long the chain`() {
        val n = 600
        step { jobStored(record("j0", emptyList()), ++revision) }
        for (i in 1 until n) step { jobStored(record("j$i", listOf("j${i - 1}")), ++revision) }
        val closed = HashSet<String>()
        var acts = step { jobCancelled("j0", ++revision, now) } + wait(1.seconds)
        while (closed.size < n) {
            val f = acts.finishes()
            assertTrue(f.isNotEmpty(), "stopped after ${closed.size}")
            for (w in f) {
                assertEquals(
                    FinalState.CANCELLED to (
                        if (w.id ==
                            "j0"
                        ) {
                            null
                        } else {
                            "j0"
                        }
                    ),
                    w.finalState to w.abortedBy,
                )
            }
            closed.addAll(f.map { it.id })
            acts = confirm() + wait(1.seconds)
        }
        assertEquals(0, core.dependencies.size)
        assertTrue(core.jobs.isEmpty())
    }

    @Test
    fun `a cancelled job that is done all the same lets those after it go on`() {
        submit(job("a"))
        submit(job("b"), dependencies = listOf("a"))
        // The cancellation was answered with done: it was never stored.
        step { jobGone("a") }
        wait(1.seconds)
        step { finalStatesRead(listOf("a"), mapOf("a" to FinalState.DONE)) }
        assertEquals(setOf("b"), core.jobs.keys)
    }

    @Test
    fun `priority and deadline go up the chain, as long as somebody needs the job`() {
        submit(job("a", priority = Priority.IDLE))
        submit(job("b", priority = Priority.IDLE, estimatedDuration = 20.seconds), dependencies = listOf("a"))
        val plain = core.latestStart(core.jobs.getValue("a"))
        submit(job("c", priority = Priority.URGENT, deadline = 90.seconds), dependencies = listOf("b"))
        val a = core.jobs.getValue("a")
        assertEquals(
            Priority.URGENT to Priority.URGENT,
            a.effectivePriority to core.dependencies["b"]?.effectivePriority,
        )
        assertTrue(core.latestStart(a) < plain, "a chain's deadline comes before a job without one")
        assertTrue(a.dueBy.let { it != null && it < 90.seconds - 30.seconds })
        step { jobCancelled("c", ++revision, now) }
        wait(1.seconds)
        confirm()
        assertEquals(Priority.IDLE, a.effectivePriority)
        assertNull(a.dueBy)
    }

    private fun record(id: String, dependencies: List<String>) =
        glenspool.core.model
            .JobRecord(job(id), now, 0, java.util.BitSet(), emptyList(), dependencies)

    /** Users' jobs in the order of their acceptance, and what is stored of them. */
    private class Model(seed: Long) {
        val random = Random(seed)
        val dependencies = LinkedHashMap<String, List<String>>()
        val ends = HashMap<String, FinalState>()
        val cancelled = HashSet<String>()
        val priority = HashMap<String, Priority>()

        fun aborted(id: String): Boolean =
            when (ends[id]) {
                FinalState.DONE -> false
                FinalState.CANCELLED -> true
                null -> id in cancelled || dependencies.getValue(id).any(::aborted)
            }

        fun ready(id: String): Boolean = dependencies.getValue(id).all { ends[it] == FinalState.DONE }

        fun effectivePriority(id: String): Priority {
            val waiting =
                dependencies.keys.filter {
                    id in dependencies.getValue(it) &&
                        it !in ends &&
                        !aborted(it) &&
                        !ready(it)
                }
            return (waiting.map(::effectivePriority) + priority.getValue(id)).max()
        }

        fun <T> pick(l: Collection<T>): T? = if (l.isEmpty()) null else l.elementAt(random.nextInt(l.size))
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12])
    fun `random chains are released, cut off and raised as in a plain model`(seed: Long) {
        val m = Model(seed)
        // Some of it was stored before this leader came, and is read in the order of names, not of acceptance.
        val before = ArrayList<String>()
        repeat(120) { n ->
            val id = "j-${m.random.nextInt(1000)}-$n"
            val candidates =
                m.dependencies.keys
                    .toList()
                    .takeLast(8)
            val alone = candidates.isEmpty() || m.random.nextInt(3) == 0
            m.dependencies[id] =
                if (alone) {
                    emptyList()
                } else {
                    List(1 + m.random.nextInt(3)) {
                        candidates[m.random.nextInt(candidates.size)]
                    }.distinct()
                }
            m.priority[id] = Priority.entries[m.random.nextInt(3)]

            fun tell(who: String) =
                step {
                    jobStored(
                        record(who, m.dependencies.getValue(who))
                            .copy(spec = job(who, priority = m.priority.getValue(who))),
                        ++revision,
                    )
                }
            if (n < 40) before.add(id) else tell(id)
            if (n == 39) {
                for (b in before.sorted()) if (b !in m.ends) tell(b)
                for (b in before) if (b in m.cancelled && b !in m.ends) step { jobCancelled(b, ++revision, now) }
            }
            happen(m, tell = n >= 39)
            if (n >= 40) same(m, "seed $seed, job $n")
        }
        assertTrue(
            m.ends.values.count {
                it == FinalState.DONE
            } > 10 &&
                m.ends.values.count { it == FinalState.CANCELLED } > 3,
        )
    }

    /** One thing that is stored: an end, or a cancellation. */
    private fun happen(m: Model, tell: Boolean) {
        val live = m.dependencies.keys.filter { it !in m.ends }
        when (m.random.nextInt(5)) {
            0, 1, 2 ->
                m.pick(live.filter { m.ready(it) && !m.aborted(it) })?.let { id ->
                    m.ends[id] = FinalState.DONE
                    if (tell) step { jobGone(id) }
                }
            3 ->
                m.pick(live.filter { m.aborted(it) })?.let { id ->
                    m.ends[id] = FinalState.CANCELLED
                    if (tell) step { jobGone(id) }
                }
            else ->
                if (m.random.nextInt(3) == 0) {
                    m.pick(live.filter { !m.aborted(it) })?.let { id ->
                        m.cancelled.add(id)
                        if (tell) step { jobCancelled(id, ++revision, now) }
                    }
                }
        }
        if (!tell) return
        // Some answers get lost; in the end all arrive.
        var acts = wait(1.seconds)
        var times = 0
        while (acts.asked().isNotEmpty()) {
            val asked = acts.asked()
            assertTrue(++times < 200, "asked without end for $asked")
            acts =
                step {
                    finalStatesRead(
                        asked,
                        asked.filter { m.random.nextInt(4) > 0 && it in m.ends }.associateWith {
                            m.ends
                                .getValue(it)
                        },
                    )
                } + wait(2.seconds)
        }
    }

    private fun same(m: Model, where: String) {
        for (id in m.dependencies.keys.filter { it !in m.ends }) {
            val held = core.dependencies[id]
            val waits = m.dependencies.getValue(id).isNotEmpty() && !m.ready(id)
            assertEquals(waits, held != null, "$where: $id waits")
            assertEquals(!waits, id in core.jobs, "$where: $id is released")
            if (held !=
                null
            ) {
                assertEquals(m.dependencies.getValue(id).any(m::aborted), held.abortedBy != null, "$where: $id is cut off")
            }
            if (held == null ||
                held.abortedBy == null
            ) {
                assertEquals(m.effectivePriority(id), core.job(id)?.effectivePriority, "$where: rank of $id")
            }
        }
    }
}
