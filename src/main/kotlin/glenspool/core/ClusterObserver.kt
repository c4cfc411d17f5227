package glenspool.core

import glenspool.core.model.Heartbeat
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import kotlin.time.Duration

/** How a heartbeat was received. */
enum class HeartbeatSource {
    /** The worker sent the heartbeat periodically; the answer renews its lease. */
    WORKER,

    /** The heartbeat is the reply to a command or a probe, which does not renew the lease. */
    REPLY,
}

/** Receives the events that the scheduler processes, in the same order. */
interface ClusterObserver {
    /** A live job was read from the key-value store. */
    fun jobRecordRead(record: JobRecord) = Unit

    /** A record that this leader wrote was stored. */
    fun jobRecordStored(record: JobRecord) = Unit

    /** The job reached its final state. */
    fun jobEnded(job: String) = Unit

    /** The job's cancellation is stored. */
    fun jobCancelled(job: String) = Unit

    /** A heartbeat newer than all earlier ones was processed. [trusted]: the worker has seen this leader's token. */
    fun machineObserved(heartbeat: Heartbeat, source: HeartbeatSource, trusted: Boolean, at: Duration) = Unit

    /** The cloud listed its machines. */
    fun machinesListed(machines: List<ListedMachine>, at: Duration) = Unit

    /** The cloud confirmed that the machine is gone. */
    fun machineDeleted(machine: String) = Unit
}
