package glenspool.simulation

import java.net.BindException
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap

/** Finds loopback ports that are free and remain free until they are used. */
internal object LoopbackPorts {
    /**
     * Below the range from which the system assigns ports to connections and to listeners on port 0, so that none of
     * these takes a port before it is used.
     */
    private val range = 20_000..30_000

    /** Ports that were returned before; their users may not have opened them yet. */
    private val returned = ConcurrentHashMap.newKeySet<Int>()

    fun free(count: Int): List<Int> =
        generateSequence { range.random() }.filter { returned.add(it) && isFree(it) }.take(count).toList()

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port).close()
            true
        } catch (e: BindException) {
            false
        }
}
