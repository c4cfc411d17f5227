package glenspool.wire

import glenspool.core.cluster.Cancellation
import kotlin.time.Duration.Companion.milliseconds

/** The stored form of a job's cancellation; its key names the job. */
object CancellationWire {
    /** Throws [MalformedMessage]. */
    fun decode(job: String, fields: Fields, version: Long) = Cancellation(job, fields.count("at").milliseconds, version)
}
