package glenspool.controller

import glenspool.logging.loggerOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A node's long-lived duties, a thread each. [fatal] ends the process at once. */
class ServiceThreads(private val fatal: () -> Unit, private val pause: Duration = 500.milliseconds) : AutoCloseable {
    private val threads = ArrayList<Thread>()

    /** A duty that goes on until it is interrupted: whenever [body] returns or fails it is begun again. */
    fun start(name: String, body: () -> Unit) =
        launch(name) {
            while (!Thread.currentThread().isInterrupted) attempt(name, body)
        }

    /** A duty that is over when [body] has returned or failed once. */
    fun startOnce(name: String, body: () -> Unit) = launch(name) { attempt(name, body) }

    private fun launch(name: String, run: () -> Unit) {
        val t = Thread(null, { serve(name, run) }, name, STACK)
        t.isDaemon = true
        t.start()
        threads.add(t)
    }

    private fun attempt(name: String, body: () -> Unit) {
        try {
            body()
        } catch (e: Exception) {
            if (e is InterruptedException) throw e
            // A duty that dies would leave the node half alive: it is logged and begun again.
            log.error("duty {} failed", name, e)
            Thread.sleep(pause.inWholeMilliseconds)
        }
    }

    private fun serve(name: String, run: () -> Unit) {
        try {
            run()
        } catch (e: InterruptedException) {
            log.debug("duty {} ends", name)
        } catch (e: Throwable) {
            // Out of memory, or a class that can't be loaded: a leader whose core has died would renew its lease for
            // ever and answer nobody. Another process takes its place.
            try {
                log.error("duty {} can't go on", name, e)
            } finally {
                fatal()
            }
        }
    }

    fun join() = threads.forEach { it.join() }

    override fun close() = threads.forEach { it.interrupt() }

    private companion object {
        val log = loggerOf(ServiceThreads::class.java)
        const val STACK = 256L * 1024
    }
}
