package glenspool.controller

import glenspool.logging.loggerOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * A node's long-lived service threads. [onFatalError] ends the process immediately; [restartDelay] is the delay before
 * the body of a failed thread is run again.
 */
class ServiceThreads(private val onFatalError: () -> Unit, private val restartDelay: Duration = 500.milliseconds) :
    AutoCloseable {
    private val threads = ArrayList<Thread>()

    /** Starts a service thread that runs [body] again whenever it returns or fails, until the thread is interrupted. */
    fun start(name: String, body: () -> Unit) =
        launch(name) {
            while (!Thread.currentThread().isInterrupted) attempt(name, body)
        }

    /** Starts a service thread that ends when [body] has returned or failed once. */
    fun startOnce(name: String, body: () -> Unit) = launch(name) { attempt(name, body) }

    private fun launch(name: String, run: () -> Unit) {
        val thread = Thread(null, { serve(name, run) }, name, STACK_BYTES)
        thread.isDaemon = true
        thread.start()
        threads.add(thread)
    }

    private fun attempt(name: String, body: () -> Unit) {
        try {
            body()
        } catch (e: Exception) {
            if (e is InterruptedException) throw e
            // If the thread ended, the node would run without one of its services. So the failure is logged, and the
            // thread continues.
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
            // The cause is a lack of memory, for example, or a class that can't be loaded. A leader whose core thread
            // has ended would renew its lease indefinitely and answer no request. So the process ends, and another
            // process becomes leader.
            try {
                log.error("service thread {} ended by an unrecoverable error; ending the process", name, e)
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
        const val STACK_BYTES = 256L * 1024
    }
}
