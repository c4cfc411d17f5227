package glenspool.core

import glenspool.core.model.Heartbeat
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import kotlin.time.Duration

/** How a heartbeat came. */
enum class HeartbeatSource {
    /** The worker sent it by itself, and is answered: its lease is renewed. */
    WORKER,

    /** It answers a command or a probe, which renews no lease. */
    REPLY,
}

/** Told of what the scheduler learns, as it learns it. */
interface ClusterObserver {
    /** A live job was read from the key-value store. */
    fun jobRecordRead(record: JobRecord) = Unit

    /** A record of this leader's own was stored. */
    fun jobRecordStored(record: JobRecord) = Unit

    /** The job has its final state. */
    fun jobEnded(job: String) = Unit

    /** The job's cancellation is stored. */
    fun jobCancelled(job: String) = Unit

    /** A heartbeat that is newer than all before. [trusted]: the worker has seen this leader's token. */
    fun machineObserved(heartbeat: Heartbeat, source: HeartbeatSource, trusted: Boolean, at: Duration) = Unit

    /** The cloud listed its machines. */
    fun machinesListed(machines: List<ListedMachine>, at: Duration) = Unit

    /** The cloud confirmed that the machine is gone. */
    fun machineDeleted(machine: String) = Unit
}
