package glenspool.simulation

import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * The settings file of a controller on loopback, in a deployment with one zone and one team without limits.
 *
 * @property members the other controllers' internal addresses by name
 * @property machines the number of machines at the start
 */
internal data class LoopbackSettings(
    val node: String,
    val apiAddress: String,
    val internalAddress: String,
    val members: Map<String, String>,
    val cloudAddress: String,
    val storeAddress: String,
    val machines: Int,
    val heartbeatInterval: Duration,
    val lease: Duration,
    val cancellationDeadline: Duration,
    val cloudRps: Double,
    val sockets: Int,
) {
    /** The content of the file. */
    fun toToml(): String =
        """
        host_name = "$node"
        location = "here"
        api_addr = "$apiAddress"
        internal_addr = "$internalAddress"
        @members
        [outside]
        cloud = "$cloudAddress"
        state = "$storeAddress"
        [settings]
        initial_size = $machines
        zones = ["here"]
        skew_ms = 5.0
        [[settings.teams]]
        name = "a"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 0.0
        gpus_max = 0.0
        [settings.workers]
        report_s = ${seconds(heartbeatInterval)}
        lease_s = ${seconds(lease)}
        gang_wait_s = 10.0
        gang_peer_s = 3.0
        cancel_s = ${seconds(cancellationDeadline)}
        [settings.state]
        rps = 600.0
        write_rps = 300.0
        value_kb = 16.0
        txn_ops = 24
        [settings.cloud]
        rps = $cloudRps
        list_lag_s = 1.0
        [settings.quota]
        cores = 1.0
        ram_mb = 300.0
        fd_limit = $sockets
        """.trimIndent().replace("@members", membersToToml())

    private fun membersToToml() =
        members.entries.joinToString("\n") { (name, address) ->
            "[[members]]\nhost_name = \"$name\"\nlocation = \"here\"\naddr = \"$address\""
        }

    private fun seconds(duration: Duration): Double = duration.toDouble(DurationUnit.SECONDS)
}
