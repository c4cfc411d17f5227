package glenspool.core

import glenspool.core.model.Exit
import glenspool.core.model.JobEnd
import glenspool.core.model.Priority
import glenspool.core.model.StartTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.standin.Driven
import glenspool.standin.job
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
class ChainsTest : Driven() {
    private fun List<Action>.asked() = filterIsInstance<AskEnds>().flatMap { it.jobs }

    private fun List<Action>.finishes() = filterIsInstance<Store>().flatMap { it.writes }.filterIsInstance<FinishJob>()

    @Test
    fun `a job that waits gets no place before the end of what it needs is stored`() {
        started()
        submit(job("a"))
        submit(job("b"), needs = listOf("a"))
        wait(1.seconds)
        val sent = confirm().filterIsInstance<Direct>().single()
        val start = sent.commands.single()
        assertEquals("a", start.key.job)
        step {
            directEnded("m1", sent, DirectOutcome.DONE, report("m1", listOf(task("a", 0, start.attempt, TaskState.RUNNING))))
        }
        // Neither the worker's result nor the change that is on its way is enough.
        val (_, seen) = say(report("m1", listOf(task("a", 0, start.attempt, TaskState.EXITED, Exit.DONE))))
        val before = seen + wait(3.seconds)
        assertEquals(listOf("a"), before.finishes().map { it.id })
        assertTrue(core.chains["b"].let { it != null && it.held && it.waitingCount() == 0 && it.waiting(1).isEmpty() })
        assertTrue(before.filterIsInstance<Store>().flatMap { it.writes }.none { it.id == "b" })
        val places = confirm() + wait(1.seconds)
        assertEquals("b", (store(places).writes.single() as SaveJob).id)
        assertEquals(listOf(TaskKey("b", 0)), confirm().starts().map(StartTask::key))
    }

    @Test
    fun `a live record that is gone proves nothing, and its end is read until it is known`() {
        started()
        submit(job("a"))
        submit(job("b"), needs = listOf("a"))
        // As after a copy read anew: the removal alone is seen, of a job that was done or cancelled.
        assertEquals(listOf("a"), (step { jobGone("a") } + wait(1.seconds)).asked())
        assertNull(core.jobs["b"])
        // No answer: it is asked again.
        val again = step { endsRead(listOf("a"), emptyMap()) } + wait(2.seconds)
        assertEquals(listOf("a"), again.asked())
        assertNull(core.jobs["b"])
        step { endsRead(listOf("a"), mapOf("a" to JobEnd.DONE)) }
        assertFalse(core.jobs.getValue("b").held)
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
            for (w in f) assertEquals(JobEnd.CANCELLED to (if (w.id == "j0") null else "j0"), w.end to w.cutBy)
            closed.addAll(f.map { it.id })
            acts = confirm() + wait(1.seconds)
        }
        assertEquals(0, core.chains.size)
        assertTrue(core.jobs.isEmpty())
    }

    @Test
    fun `a cancelled job that is done all the same lets those after it go on`() {
        submit(job("a"))
        submit(job("b"), needs = listOf("a"))
        // The cancellation was answered with done: it was never stored.
        step { jobGone("a") }
        wait(1.seconds)
        step { endsRead(listOf("a"), mapOf("a" to JobEnd.DONE)) }
        assertEquals(setOf("b"), core.jobs.keys)
    }

    @Test
    fun `priority and deadline go up the chain, as long as somebody needs the job`() {
        submit(job("a", priority = Priority.IDLE))
        submit(job("b", priority = Priority.IDLE, estimate = 20.seconds), needs = listOf("a"))
        val plain = core.order(core.jobs.getValue("a"))
        submit(job("c", priority = Priority.URGENT, deadline = 90.seconds), needs = listOf("b"))
        val a = core.jobs.getValue("a")
        assertEquals(Priority.URGENT to Priority.URGENT, a.rank to core.chains["b"]?.rank)
        assertTrue(core.order(a) < plain, "a chain's deadline comes before a job without one")
        assertTrue(a.due.let { it != null && it < 90.seconds - 30.seconds })
        step { jobCancelled("c", ++revision, now) }
        wait(1.seconds)
        confirm()
        assertEquals(Priority.IDLE, a.rank)
        assertNull(a.due)
    }

    private fun record(id: String, needs: List<String>) =
        glenspool.core.model
            .JobRecord(job(id), now, 0, java.util.BitSet(), emptyList(), needs)

    /** Users' jobs in the order of their acceptance, and what is stored of them. */
    private class Model(seed: Long) {
        val random = Random(seed)
        val needs = LinkedHashMap<String, List<String>>()
        val ends = HashMap<String, JobEnd>()
        val cancelled = HashSet<String>()
        val priority = HashMap<String, Priority>()

        fun aborted(id: String): Boolean =
            when (ends[id]) {
                JobEnd.DONE -> false
                JobEnd.CANCELLED -> true
                null -> id in cancelled || needs.getValue(id).any(::aborted)
            }

        fun ready(id: String): Boolean = needs.getValue(id).all { ends[it] == JobEnd.DONE }

        fun rank(id: String): Priority {
            val waiting = needs.keys.filter { id in needs.getValue(it) && it !in ends && !aborted(it) && !ready(it) }
            return (waiting.map(::rank) + priority.getValue(id)).max()
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
                m.needs.keys
                    .toList()
                    .takeLast(8)
            val alone = candidates.isEmpty() || m.random.nextInt(3) == 0
            m.needs[id] =
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
                        record(who, m.needs.getValue(who))
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
        assertTrue(m.ends.values.count { it == JobEnd.DONE } > 10 && m.ends.values.count { it == JobEnd.CANCELLED } > 3)
    }

    /** One thing that is stored: an end, or a cancellation. */
    private fun happen(m: Model, tell: Boolean) {
        val live = m.needs.keys.filter { it !in m.ends }
        when (m.random.nextInt(5)) {
            0, 1, 2 ->
                m.pick(live.filter { m.ready(it) && !m.aborted(it) })?.let { id ->
                    m.ends[id] = JobEnd.DONE
                    if (tell) step { jobGone(id) }
                }
            3 ->
                m.pick(live.filter { m.aborted(it) })?.let { id ->
                    m.ends[id] = JobEnd.CANCELLED
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
                    endsRead(
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
        for (id in m.needs.keys.filter { it !in m.ends }) {
            val held = core.chains[id]
            val waits = m.needs.getValue(id).isNotEmpty() && !m.ready(id)
            assertEquals(waits, held != null, "$where: $id waits")
            assertEquals(!waits, id in core.jobs, "$where: $id is released")
            if (held !=
                null
            ) {
                assertEquals(m.needs.getValue(id).any(m::aborted), held.cutBy != null, "$where: $id is cut off")
            }
            if (held == null || held.cutBy == null) assertEquals(m.rank(id), core.job(id)?.rank, "$where: rank of $id")
        }
    }
}
