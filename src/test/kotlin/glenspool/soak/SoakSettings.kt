package glenspool.soak

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The size and length of one run. One [seed] decides what users do and which troubles occur when.
 *
 * @property workers the number of machines at the start
 * @property troubleTime for how long troubles begin
 */
data class SoakSettings(val seed: Long, val workers: Int, val troubleTime: Duration, val logDirectory: String) {
    val heartbeatInterval: Duration = if (workers > LARGE_FLEET) 4.seconds else 1.seconds
    val lease: Duration = heartbeatInterval * 2 + 6.seconds
    val cancellationDeadline: Duration = lease * 2 + 8.seconds

    companion object {
        val NODES = listOf("bobbin-0", "bobbin-1", "bobbin-2")
        const val CLOUD_RPS = 10.0

        /** Above this number of machines the heartbeat interval is that of the large deployments. */
        private const val LARGE_FLEET = 1_000
    }
}
