package glenspool.simulation

import java.net.BindException
import java.net.ServerSocket

/** Finds loopback ports that are free and remain free until they are used. */
internal object LoopbackPorts {
    /**
     * Below the range from which the system assigns ports to connections and to listeners on port 0, so that none of
     * these takes a port before it is used.
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
