package glenspool.wire

import glenspool.core.cluster.Cancellation
import kotlin.time.Duration.Companion.milliseconds

/** The stored form of a job's cancellation. The job's id is part of the key. */
object CancellationWire {
    /** @throws MalformedMessage if the time is missing or invalid */
    fun decode(job: String, fields: Fields, version: Long) = Cancellation(job, fields.count("at").milliseconds, version)
}
