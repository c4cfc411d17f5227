package glenspool.core

import glenspool.core.model.ExitReason
import glenspool.core.model.JobKind
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.StopTask
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.simulation.SchedulerDriver
import glenspool.simulation.bigType
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards that matter where much of a large fleet is in the same trouble at once. */
class FleetGuardsTest : SchedulerDriver() {
    private fun List<Action>.deleted() = filterIsInstance<DeleteMachines>().flatMap { it.machines }.toSet()

    /** The machines of the other zone. */
    private fun cutOff(running: Map<String, TaskStatus>) = running.keys.filter { it.startsWith("z") }.toSet()

    private val whole = Resources(14.0, 4.0, 50.0)

    @Test
    fun `a zone that is cut off is waited for, and comes back as it was`() {
        val running = busy(6, others = 6)
        val zone = cutOff(running)
        assertEquals(emptySet<String>(), live(48.seconds, running - zone, zone).deleted())
        // Not all of them are heard again at the same moment.
        assertEquals(emptySet<String>(), live(4.seconds, running - zone.drop(1).toSet(), zone.drop(1).toSet()).deleted())
        assertEquals(emptySet<String>(), live(20.seconds, running, emptySet()).deleted())
        assertEquals(
            12,
            core.jobs.getValue("a").placements.values.count {
                it.attempt ==
                    running.getValue(it.machine).attempt
            },
        )
    }

    @Test
    fun `a zone that does not come back is given up`() {
        val running = busy(6, others = 6)
        val zone = cutOff(running)
        assertEquals(zone, live(100.seconds, running - zone, zone).deleted())
    }

    @Test
    fun `machines that died with their zone are given up as soon as the list tells`() {
        val running = busy(6, others = 6)
        val zone = cutOff(running)
        assertEquals(emptySet<String>(), live(20.seconds, running - zone, zone).deleted())
        assertEquals(zone, list(running.keys, failed = zone).deleted())
    }

    @Test
    fun `machines that are lost one after the other share a call to the cloud, whose calls are few`() {
        val running = busy(6, others = 6)
        assertEquals(
            listOf(listOf("m1")),
            list(running.keys, failed = setOf("m1")).filterIsInstance<DeleteMachines>().map {
                it.machines
            },
        )
        // Within the pause nothing is sent, and what came meanwhile goes together.
        assertTrue(list(running.keys, failed = setOf("m1", "m2")).none { it is DeleteMachines })
        now += 200.milliseconds
        assertTrue(list(running.keys, failed = setOf("m1", "m2", "z1")).none { it is DeleteMachines })
        now += 200.milliseconds
        assertEquals(listOf(listOf("m2", "z1")), step { tick() }.filterIsInstance<DeleteMachines>().map { it.machines })
    }

    @Test
    fun `an array that no machine could take gets one, however little its work is`() {
        step { machineTypesKnown(listOf(bigType)) }
        submit(job("a"))
        assertEquals(listOf(1), wait(4.seconds).filterIsInstance<ScaleOut>().map { it.count })
    }

    @Test
    fun `an array does not wait for ever behind work that never ends`() {
        started()
        submit(job("s", JobKind.SERVICE, resourceRequest = Resources(16.0, 4.0, 64.0), priority = Priority.CRITICAL))
        wait(1.seconds)
        val running = carriedOut()
        submit(job("a"))
        assertEquals(emptyList<ScaleOut>(), live(90.seconds, running, emptySet()).filterIsInstance<ScaleOut>())
        assertEquals(listOf(1), live(20.seconds, running, emptySet()).filterIsInstance<ScaleOut>().map { it.count })
    }

    @Test
    fun `while nobody can lead, cancelled work out of reach is named when its time is nearly over, and no other`() {
        val running = busy(3)
        submit(job("b"))
        step { jobCancelled("a", ++revision, now) }
        // The stop is carried out on m1 and m2; m3 is not heard any more.
        for (m in listOf("m1", "m2")) {
            say(
                heartbeat(
                    m,
                    listOf(
                        running
                            .getValue(m)
                            .copy(state = TaskState.EXITED, exit = ExitReason.STOPPED),
                    ),
                ),
            )
        }
        val cancelled = now
        assertEquals(emptyList<String>(), core.overdueMachines(cancelled + 31.seconds).map { it.machine })
        assertEquals(
            listOf("m3" to setOf("a")),
            core.overdueMachines(cancelled + 33.seconds).map {
                it.machine to
                    it.jobs
            },
        )
        assertEquals(emptyList<String>(), core.overdueMachines(cancelled + 34.seconds).map { it.machine })
        assertEquals(listOf("m3"), core.overdueMachines(cancelled + 37.seconds).map { it.machine })
        step { deletionEnded(listOf("m3"), true) }
        assertEquals(emptyList<String>(), core.overdueMachines(cancelled + 50.seconds).map { it.machine })
    }

    @Test
    fun `a spread service whose zone is full gets a machine in another zone`() {
        started(1, others = 1)
        // Zone a has its share of the service, and the machine in zone b is full.
        submit(
            job(
                "full", resourceRequest = Resources(15.0, 4.0, 60.0), zone = "b", priority = Priority.CRITICAL,
                estimatedDuration =
                    1000
                        .seconds,
            ),
        )
        wait(1.seconds)
        assertEquals(setOf("z1"), carriedOut().keys)
        val first =
            submit(job("s", JobKind.SERVICE, 2, priority = Priority.CRITICAL, spread = true), listOf(StoredPlacement(0, 1, "m1")), last = 1)
        val rented = (first + wait(4.seconds)).filterIsInstance<ScaleOut>()
        assertTrue(rented.isNotEmpty() && rented.all { it.zone == "b" }, "$rented")
    }

    @Test
    fun `machines lost in several zones are given up at once`() {
        val running = busy(6, others = 6)
        val lost = setOf("m1", "m2", "z1", "z2")
        assertEquals(lost, live(12.seconds, running - lost, lost).deleted())
    }

    @Test
    fun `no work is stopped for a gang while some of its last attempt is still leaving`() {
        started(2)
        submit(job("gang", JobKind.GANG, 2, whole, priority = Priority.URGENT))
        wait(1.seconds)
        val gang = carriedOut()
        say(heartbeat("m3"))
        submit(job("small", tasks = 1, resourceRequest = whole))
        wait(1.seconds)
        val small = carriedOut()
        // One task of the gang is gone with its machine about to be taken; the other is still there for a while.
        val (lost, left) = gang.keys.toList()
        val (_, told) =
            say(
                heartbeat(lost, listOf(gang.getValue(lost).copy(state = TaskState.EXITED, exit = ExitReason.GANG_BROKEN)))
                    .copy(preemptionNotice = 10.seconds),
            )
        val stops =
            (told + live(4.seconds, small + (left to gang.getValue(left)), emptySet()))
                .filterIsInstance<SendCommands>()
                .flatMap { it.commands }
                .filterIsInstance<StopTask>()
        assertTrue(stops.none { it.key.job == "small" }, "the room is of no use yet: $stops")
    }

    @Test
    fun `a broken gang keeps its machines from small work until it begins again there`() {
        started(2)
        submit(job("gang", JobKind.GANG, 2, whole, priority = Priority.URGENT))
        wait(1.seconds)
        val gang = carriedOut()
        submit(job("small", tasks = 4, resourceRequest = whole))
        val (first, second) = gang.keys.toList()

        fun breaks(m: String) =
            say(
                heartbeat(
                    m,
                    listOf(
                        gang
                            .getValue(m)
                            .copy(state = TaskState.EXITED, exit = ExitReason.GANG_BROKEN),
                    ),
                ),
            )
        breaks(first)
        val meanwhile = wait(2.seconds)
        assertTrue(
            core.machines
                .getValue(first)
                .placements
                .isEmpty(),
            "small work took the room",
        )
        assertTrue(
            meanwhile.filterIsInstance<SendCommands>().flatMap { it.commands }.none {
                it is StopTask &&
                    it.key.job == "small"
            },
        )
        breaks(second)
        wait(2.seconds)
        assertEquals(
            setOf(2L),
            core.jobs
                .getValue("gang")
                .placements.values
                .map { it.attempt }
                .toSet(),
        )
        assertEquals(
            0,
            core.jobs
                .getValue("small")
                .placements.size,
        )
    }

    @Test
    fun `there is a pause between two deletion calls, and nothing is left out for it`() {
        val running = busy(8)
        assertEquals(setOf("m1"), list(running.keys, failed = setOf("m1")).deleted())
        assertEquals(emptySet<String>(), list(running.keys, failed = setOf("m1", "m2")).deleted(), "the cloud's calls are few")
        assertEquals(setOf("m2"), wait(1.seconds).deleted())
    }

    @Test
    fun `a new leader does not wait a whole lease for a machine that no list names`() {
        step { machineTypesKnown(listOf(bigType)) }
        submit(
            job("a", tasks = 4, resourceRequest = whole),
            (0..3).map {
                StoredPlacement(it, it + 1L, "m${it + 1}")
            },
            last = 4,
        )
        val alive = (1..3).associate { "m$it" to task("a", it - 1, it.toLong(), TaskState.RUNNING) }
        val all = ArrayList<Action>()
        repeat(6) {
            all += list(alive.keys)
            all += live(2.seconds, alive, emptySet())
        }
        // The lists lag by up to 6 s here, and the lease is 16 s.
        assertEquals(setOf("m4"), all.deleted())
    }
}
