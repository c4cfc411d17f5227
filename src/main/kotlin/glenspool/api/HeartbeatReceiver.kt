package glenspool.api

import glenspool.core.model.Heartbeat

/** Passes heartbeats to the core. */
fun interface HeartbeatReceiver {
    /** Calls [answer] once, on any thread, with null if this node does not lead or its core is overloaded. */
    fun receive(heartbeat: Heartbeat, answer: (WorkerCommands?) -> Unit)
}
