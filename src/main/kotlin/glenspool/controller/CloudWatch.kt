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
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Reads the cloud's list of machines and its machine types while this node leads, and keeps the types for nodes that
 * have just started.
 */
class CloudWatch(
    listLag: Duration,
    private val cloud: CloudClient,
    private val store: KeyValueStoreClient,
    private val cache: StoreCache,
    private val leadership: Leadership,
    private val post: (Event) -> Unit,
) {
    private val listEvery = maxOf(1.seconds, listLag / 3)
    private var typesReadAt: TimeMark? = null

    @Volatile
    private var types: List<MachineType>? = null

    /** The machine types last read from the cloud or, before that, the stored ones. */
    fun knownTypes(): List<MachineType>? =
        types ?: cache.get(Keys.TYPES)?.let {
            try {
                CloudWire.decodeTypes(it.value).also { list -> types = list }
            } catch (e: MalformedMessage) {
                log.error("stored machine types are not readable", e)
                null
            }
        }

    /** The duty. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            val term = leadership.current()
            if (term == null) {
                Thread.sleep(FOLLOWING_PAUSE.inWholeMilliseconds)
                continue
            }
            if (typesReadAt.let { it == null || it.elapsedNow() > TYPES_EVERY }) readTypes(term)
            cloud.listMachines()?.let { post(Event.MachinesListed(it)) }
            Thread.sleep(listEvery.inWholeMilliseconds)
        }
    }

    private fun readTypes(term: Term) {
        val raw = cloud.readTypes() ?: return
        typesReadAt = TimeSource.Monotonic.markNow()
        val list = CloudWire.decodeTypes(raw)
        types = list
        post(Event.MachineTypesRead(list))
        store(term, raw)
    }

    /** The last known types are kept, so that a node can judge submissions while the cloud is silent. */
    private fun store(term: Term, raw: Fields) {
        val known = cache.get(Keys.TYPES)
        if (known != null &&
            CloudWire.decodeTypes(known.value).map { it.name to it.capacity } ==
            CloudWire.decodeTypes(raw).map { it.name to it.capacity }
        ) {
            return
        }
        val r =
            store
                .transact(mapOf(Keys.LEAD to term.recordVersion, Keys.TYPES to (known?.version ?: 0L)), listOf(Put(Keys.TYPES, raw)))
        if (r !is StoreResult.Ok) log.info("machine types not stored: {}", r)
    }

    private companion object {
        val log = loggerOf(CloudWatch::class.java)
        val TYPES_EVERY: Duration = 30.seconds
        val FOLLOWING_PAUSE: Duration = 200.milliseconds
    }
}
