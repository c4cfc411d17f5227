package glenspool.soak

import glenspool.simulation.LoopbackPorts
import glenspool.simulation.LoopbackSettings
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

    private fun settingsOf(node: String): String =
        LoopbackSettings(
            node = node,
            apiAddress = addresses.getValue(node),
            internalAddress = internalAddresses.getValue(node),
            members = internalAddresses - node,
            cloudAddress = fleet.cloudAddress,
            storeAddress = store.addressFor(node),
            machines = settings.workers,
            heartbeatInterval = settings.heartbeatInterval,
            lease = settings.lease,
            cancellationDeadline = settings.cancellationDeadline,
            cloudRps = SoakSettings.CLOUD_RPS,
            sockets = BASE_SOCKETS + settings.workers * 2,
        ).toToml()

    private companion object {
        const val BASE_SOCKETS = 900
    }
}
