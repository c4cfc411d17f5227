package glenspool.simulation

import glenspool.state.StoreCache
import kotlin.concurrent.thread

/** Starts the thread that brings a store cache up to date when a request needs it. It ends when it is interrupted. */
fun startSyncThread(cache: StoreCache): Thread =
    thread(isDaemon = true) {
        try {
            cache.serveSyncs()
        } catch (e: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }
