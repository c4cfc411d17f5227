package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.core.model.MachineType
import glenspool.logging.loggerOf
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreCache
import glenspool.state.StoreResult
import glenspool.wire.CloudWire
import glenspool.wire.MalformedMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Reads the cloud's list of machines and its machine types while this node leads, and stores the types for nodes that
 * have just started.
 */
class CloudPoller(
    listLag: Duration,
    private val cloud: CloudClient,
    private val store: KeyValueStoreClient,
    private val cache: StoreCache,
    private val leadership: Leadership,
    private val post: (Event) -> Unit,
) {
    private val listInterval = maxOf(1.seconds, listLag / 3)
    private var typesReadAt: TimeMark? = null

    @Volatile
    private var types: List<MachineType>? = null

    /** Returns the machine types last read from the cloud or, before that, the stored ones; null if none are known. */
    fun knownTypes(): List<MachineType>? = types ?: storedTypes()?.also { types = it }

    private fun storedTypes(): List<MachineType>? {
        val item = cache.get(Keys.MACHINE_TYPES) ?: return null
        return try {
            CloudWire.decodeTypes(item.value)
        } catch (e: MalformedMessage) {
            log.error("stored machine types could not be decoded and are ignored", e)
            null
        }
    }

    /** The body of the service thread. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            val term = leadership.current()
            if (term == null) {
                Thread.sleep(FOLLOWER_CHECK_INTERVAL.inWholeMilliseconds)
                continue
            }
            if (typesReadAt.let { it == null || it.elapsedNow() > TYPES_READ_INTERVAL }) readTypes(term)
            cloud.listMachines()?.let { post(Event.MachinesListed(it)) }
            Thread.sleep(listInterval.inWholeMilliseconds)
        }
    }

    private fun readTypes(term: Term) {
        val raw = cloud.readTypes() ?: return
        typesReadAt = TimeSource.Monotonic.markNow()
        val read = CloudWire.decodeTypes(raw)
        types = read
        post(Event.MachineTypesRead(read))
        // The last known types are stored, so that a node can validate submissions while the cloud does not answer.
        val stored = cache.get(Keys.MACHINE_TYPES)
        if (stored != null && hasSameTypes(CloudWire.decodeTypes(stored.value), read)) return
        val conditions = mapOf(Keys.LEADERSHIP to term.recordVersion, Keys.MACHINE_TYPES to (stored?.version ?: 0L))
        val result = store.transact(conditions, listOf(Put(Keys.MACHINE_TYPES, raw)))
        if (result !is StoreResult.Ok) log.info("machine types not stored: {}", result)
    }

    /** Whether both lists have the same types with the same capacities; prices and other values may differ. */
    private fun hasSameTypes(stored: List<MachineType>, read: List<MachineType>): Boolean {
        if (stored.size != read.size) return false
        return stored.zip(read).all { (before, now) -> before.name == now.name && before.capacity == now.capacity }
    }

    private companion object {
        val log = loggerOf(CloudPoller::class.java)
        val TYPES_READ_INTERVAL: Duration = 30.seconds
        val FOLLOWER_CHECK_INTERVAL: Duration = 200.milliseconds
    }
}
