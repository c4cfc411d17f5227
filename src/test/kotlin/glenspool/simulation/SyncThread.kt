package glenspool.simulation

import glenspool.state.StoreCache

/** Starts the thread that syncs a store cache when a request needs it. The thread ends when it is interrupted. */
fun startSyncThread(cache: StoreCache): Thread = startInterruptible(cache::serveSyncs)
