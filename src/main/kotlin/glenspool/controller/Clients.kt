package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.config.Settings
import glenspool.http.HttpClient
import glenspool.http.hostPort
import glenspool.peer.PeerClient
import glenspool.state.KeyValueStoreClient
import glenspool.worker.WorkerClient
import kotlin.time.Duration.Companion.milliseconds

/** A node's clients for all services that it calls. */
internal class Clients(settings: Settings) {
    private val http = HttpClient(CONNECT_TIMEOUT)

    val store = KeyValueStoreClient(settings.storeAddr.hostPort(), http)
    val cloud = CloudClient(settings.cloudAddr.hostPort(), http, settings.cloudLimits.rps)

    /**
     * For requests that need no leadership. Every controller may send them at the same time, so each uses its part of
     * the cloud's request rate.
     */
    val sharedCloud =
        CloudClient(settings.cloudAddr.hostPort(), http, settings.cloudLimits.rps / (settings.members.size + 1))

    /**
     * Keeps no connections open, since a machine rarely receives a command, and open connections to a large fleet would
     * take half of the sockets.
     */
    val workers = WorkerClient(HttpClient(CONNECT_TIMEOUT, keepAlive = false))
    val peers = PeerClient(settings.members)

    private companion object {
        val CONNECT_TIMEOUT = 800.milliseconds
    }
}
