package glenspool.http

/** Idle connections that are kept for further requests, a few for each address (`host:port`). Thread-safe. */
internal class ConnectionPool {
    private val idle = HashMap<String, ArrayDeque<ClientConnection>>()

    /** Removes the connection to [address] that was used last and can be used again; null if there is none. */
    fun take(address: String): ClientConnection? {
        while (true) {
            val connection = synchronized(idle) { idle[address]?.removeLastOrNull() } ?: return null
            if (connection.isReusable()) return connection
            connection.close()
        }
    }

    /** Keeps [connection]; if there are too many then, the one that has been idle for longest is closed. */
    fun put(address: String, connection: ClientConnection) {
        connection.markIdle()
        val surplus =
            synchronized(idle) {
                val connections = idle.getOrPut(address) { ArrayDeque() }
                connections.addLast(connection)
                if (connections.size > MAX_PER_ADDRESS) connections.removeFirst() else null
            }
        surplus?.close()
    }

    private companion object {
        const val MAX_PER_ADDRESS = 4
    }
}
