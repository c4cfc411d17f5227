package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.Cancellations
import glenspool.core.model.JobRecord
import glenspool.core.model.StoredPlacement
import glenspool.http.HttpClient
import glenspool.http.HttpListener
import glenspool.simulation.HangingWorkers
import glenspool.simulation.InMemoryStore
import glenspool.simulation.StandInCloud
import glenspool.simulation.job
import glenspool.simulation.startInterruptible
import glenspool.simulation.startSyncThread
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreCache
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.util.BitSet
import java.util.concurrent.locks.LockSupport
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Tests that three controllers without a leader end cancelled work in time on a fleet of 4,000 machines. */
class CancelledWorkAtSizeTest {
    private val random = Random(48)
    private val machines = (1..MACHINES).map { "i-%06d".format(it) }
    private val hanging = machines.shuffled(random).take(HANGING_MACHINES).toSet()
    private val jobs = (1..CANCELLED_JOBS).map { "run-%06d".format(it) }
    private val placements = machines.shuffled(random).chunked(MACHINES / CANCELLED_JOBS)

    /** The wall-clock time since the cancellations were confirmed. */
    private val startedAt = TimeSource.Monotonic.markNow()

    private fun sinceConfirmation(): Duration = CANCELLATION_DEADLINE * START_SHARE + startedAt.elapsedNow()

    @Test
    fun `without a leader 500 hanging machines of 4,000 with cancelled work are gone within the deadline`() {
        val missed = playWithoutLeader()
        assertEquals(emptySet<String>(), missed, "${missed.size} of ${hanging.size} machines are not deleted in time")
    }

    @Test
    fun `how many hanging machines can be deleted in time follows from the cloud's rate and the deadline`() {
        assertEquals(1_800, CancelledWorkEnforcement.deletableMachines(52.seconds, 10 * 0.8 / 3))
        assertEquals(1_000, CancelledWorkEnforcement.deletableMachines(49.seconds, 6 * 0.8 / 3))
        assertEquals(0, CancelledWorkEnforcement.deletableMachines(24.seconds, 10 * 0.8 / 3))
    }

    /** Returns the hanging machines that still exist when the cancellations' deadline has passed. */
    private fun playWithoutLeader(): Set<String> {
        val store = storeWithCancelledJobs()
        HttpListener(InetSocketAddress("127.0.0.1", 0), "state", STORE_THREADS, store::serve).use { stateListener ->
            StandInCloud(CLOUD_RPS, CLOUD_LATENCY).use { cloud ->
                machines.forEach { cloud.add(it, it) }
                val nodes = List(NODES) { enforcement(loadedCache(stateListener.port), cloud) }
                val threads = nodes.map { node -> startInterruptible(node::run) }
                while (sinceConfirmation() < CANCELLATION_DEADLINE && hanging.any(cloud::has)) {
                    LockSupport.parkNanos(POLL_INTERVAL.inWholeNanoseconds)
                }
                threads.forEach { it.interrupt() }
                nodes.forEach { it.close() }
                return hanging.filterTo(HashSet(), cloud::has)
            }
        }
    }

    private fun storeWithCancelledJobs(): InMemoryStore {
        val store = InMemoryStore()
        jobs.forEachIndexed { number, id ->
            val stored = placements[number].mapIndexed { task, machine -> StoredPlacement(task, 1, machine) }
            val record = JobRecord(job(id, tasks = stored.size), Duration.ZERO, 1, BitSet(), stored)
            store.transact(emptyMap(), listOf(Put(Keys.job(id), RecordWire.encode(record))), emptyList())
        }
        return store
    }

    private fun loadedCache(port: Int): StoreCache {
        val client = KeyValueStoreClient("127.0.0.1:$port", HttpClient(2.seconds))
        val cache = StoreCache(client, 1000.0) { _, _ -> }
        val syncThread = startSyncThread(cache)
        assertTrue(cache.sync(10.seconds))
        syncThread.interrupt()
        return cache
    }

    private fun enforcement(cache: StoreCache, cloud: StandInCloud): CancelledWorkEnforcement {
        val cancellations = Cancellations("boot", emptyList(), CANCELLATION_DEADLINE * 4, startedAt::elapsedNow)
        jobs.forEach { cancellations.add(Cancellation(it, Duration.ZERO, 1)) }
        val client = CloudClient(cloud.address, HttpClient(800.milliseconds), CLOUD_RPS / NODES)
        return CancelledWorkEnforcement(
            CANCELLATION_DEADLINE, cancellations, cache, client, HangingWorkers { it in hanging },
            hasLeader = { false },
            wallTime = ::sinceConfirmation,
            metrics = CancelledWorkMetrics(startedAt::elapsedNow),
            onDeleted = {},
        )
    }

    private companion object {
        const val NODES = 3
        const val MACHINES = 4_000
        const val HANGING_MACHINES = 500
        const val CANCELLED_JOBS = 200
        const val STORE_THREADS = 8
        const val CLOUD_RPS = 10.0
        val CLOUD_LATENCY = 250.milliseconds
        val POLL_INTERVAL = 50.milliseconds

        /** The shorter of the deadlines of the large deployments. */
        val CANCELLATION_DEADLINE = 49.seconds

        /** Nothing is done without a leader before 0.4 of the deadline. */
        const val START_SHARE = 0.39
    }
}
