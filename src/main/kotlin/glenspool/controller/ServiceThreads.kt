package glenspool.controller

import glenspool.logging.loggerOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A node's long-lived service threads. [onFatalError] ends the process at once; [restartDelay]: before a failed one is
 * restarted.
 */
class ServiceThreads(private val onFatalError: () -> Unit, private val restartDelay: Duration = 500.milliseconds) :
    AutoCloseable {
    private val threads = ArrayList<Thread>()

    /** A service thread that runs until it is interrupted: whenever [body] returns or fails it is run again. */
    fun start(name: String, body: () -> Unit) =
        launch(name) {
            while (!Thread.currentThread().isInterrupted) attempt(name, body)
        }

    /** A service thread that is over when [body] has returned or failed once. */
    fun startOnce(name: String, body: () -> Unit) = launch(name) { attempt(name, body) }

    private fun launch(name: String, run: () -> Unit) {
        val thread = Thread(null, { serve(name, run) }, name, STACK)
        thread.isDaemon = true
        thread.start()
        threads.add(thread)
    }

    private fun attempt(name: String, body: () -> Unit) {
        try {
            body()
        } catch (e: Exception) {
            if (e is InterruptedException) throw e
            // A thread that died would leave the node half alive: the failure is logged and the thread goes on.
            log.error("service thread {} failed", name, e)
            Thread.sleep(restartDelay.inWholeMilliseconds)
        }
    }

    private fun serve(name: String, run: () -> Unit) {
        try {
            run()
        } catch (e: InterruptedException) {
            log.debug("service thread {} stopped", name)
        } catch (e: Throwable) {
            // Out of memory, or a class that can't be loaded: a leader whose core has died would renew its lease for
            // ever and answer nobody. Another process takes over.
            try {
                log.error("service thread {} ended by an error", name, e)
            } finally {
                onFatalError()
            }
        }
    }

    /** Waits until all threads have ended. */
    fun join() = threads.forEach { it.join() }

    /** Interrupts all threads. */
    override fun close() = threads.forEach { it.interrupt() }

    private companion object {
        val log = loggerOf(ServiceThreads::class.java)

        /** In bytes. */
        const val STACK = 256L * 1024
    }
}
