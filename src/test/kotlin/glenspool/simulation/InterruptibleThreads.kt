package glenspool.simulation

import kotlin.concurrent.thread

/** Runs the body of a service thread, which ends only by an interrupt. */
fun runUntilInterrupted(body: () -> Unit) {
    try {
        body()
    } catch (e: InterruptedException) {
        Thread.currentThread().interrupt()
    }
}

/** Starts a service thread, which ends when it is interrupted. */
fun startInterruptible(body: () -> Unit): Thread = thread(isDaemon = true) { runUntilInterrupted(body) }
