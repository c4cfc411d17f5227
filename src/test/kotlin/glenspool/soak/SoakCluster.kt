package glenspool.soak

import glenspool.simulation.LoopbackPorts
import java.io.File

/** Three controllers as processes, with the stand-ins for all outside systems. */
internal class SoakCluster(val settings: SoakSettings) : AutoCloseable {
    val history = SoakHistory()
    private val directory = File(settings.logDirectory, "seed-${settings.seed}").also { it.mkdirs() }
    private val ports = LoopbackPorts.free(SoakSettings.NODES.size * 2)
    val addresses = SoakSettings.NODES.withIndex().associate { (index, node) -> node to "127.0.0.1:${ports[index]}" }
    private val internalAddresses =
        SoakSettings.NODES
            .withIndex()
            .associate { (index, node) -> node to "127.0.0.1:${ports[SoakSettings.NODES.size + index]}" }
    val store = SoakStore(settings.seed, history)
    val fleet = SoakFleet(settings, history) { addresses }
    val controllers =
        SoakSettings.NODES.associateWith { node ->
            val file = File(directory, "$node.toml").also { it.writeText(settingsOf(node)) }
            val log = File(directory, "$node.log").also { it.delete() }
            SoakController(node, file, log, history)
        }

    /** The directory that keeps the controllers' logs. */
    val logs: String get() = directory.path

    /** Whether a line of a controller's log contains [text]. */
    fun logLinesWith(text: String): List<String> =
        SoakSettings.NODES.flatMap { node ->
            val file = File(directory, "$node.log")
            if (file.exists()) file.readLines().filter { text in it }.map { "$node: $it" } else emptyList()
        }

    override fun close() {
        controllers.values.forEach { it.resume() }
        controllers.values.forEach { it.kill() }
        fleet.close()
        store.close()
    }

    private fun settingsOf(node: String): String {
        val members =
            SoakSettings.NODES.filter { it != node }.joinToString("\n") {
                "[[members]]\nhost_name = \"$it\"\nlocation = \"here\"\naddr = \"${internalAddresses[it]}\""
            }
        return """
            host_name = "$node"
            location = "here"
            api_addr = "${addresses[node]}"
            internal_addr = "${internalAddresses[node]}"
            @members
            [outside]
            cloud = "${fleet.cloudAddress}"
            state = "${store.addressFor(node)}"
            [settings]
            initial_size = ${settings.workers}
            zones = ["here"]
            skew_ms = 5.0
            [[settings.teams]]
            name = "a"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 0.0
            gpus_max = 0.0
            [settings.workers]
            report_s = ${settings.heartbeatInterval.inWholeMilliseconds / MILLIS}
            lease_s = ${settings.lease.inWholeMilliseconds / MILLIS}
            gang_wait_s = 10.0
            gang_peer_s = 3.0
            cancel_s = ${settings.cancellationDeadline.inWholeMilliseconds / MILLIS}
            [settings.state]
            rps = 600.0
            write_rps = 300.0
            value_kb = 16.0
            txn_ops = 24
            [settings.cloud]
            rps = ${SoakSettings.CLOUD_RPS}
            list_lag_s = 1.0
            [settings.quota]
            cores = 1.0
            ram_mb = 300.0
            fd_limit = ${BASE_SOCKETS + settings.workers * 2}
            """.trimIndent().replace("@members", members)
    }

    private companion object {
        const val MILLIS = 1000.0
        const val BASE_SOCKETS = 900
    }
}
