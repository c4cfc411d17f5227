package glenspool.simulation

import java.net.BindException
import java.net.ServerSocket

/** Ports on loopback that are free, and stay so until they are used. */
internal object LoopbackPorts {
    /**
     * Below the range from which the system gives ports to connections and to listeners that ask for any, so that
     * nobody takes one meanwhile.
     */
    private val range = 20_000..30_000

    fun free(count: Int): List<Int> =
        generateSequence { range.random() }.filter(::isFree).distinct().take(count).toList()

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port).close()
            true
        } catch (e: BindException) {
            false
        }
}
