package glenspool.api

import glenspool.core.model.Heartbeat

/** Hands heartbeats to the core. */
fun interface HeartbeatReceiver {
    /** [answer] is called once, by any thread; with null if this node does not lead or its core is behind. */
    fun receive(heartbeat: Heartbeat, answer: (WorkerCommands?) -> Unit)
}
