package glenspool.simulation

import glenspool.state.StoreCache
import kotlin.concurrent.thread

/** Starts the thread that syncs a store cache when a request needs it. The thread ends when it is interrupted. */
fun startSyncThread(cache: StoreCache): Thread =
    thread(isDaemon = true) {
        try {
            cache.serveSyncs()
        } catch (e: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }
