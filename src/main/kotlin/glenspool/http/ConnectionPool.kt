package glenspool.http

/** Keeps idle connections for further requests, a few for each address (`host:port`). Thread-safe. */
internal class ConnectionPool {
    private val idleByAddress = HashMap<String, ArrayDeque<ClientConnection>>()

    /** Removes and returns the most recently used reusable connection to [address], or null if there is none. */
    fun take(address: String): ClientConnection? {
        while (true) {
            val connection = synchronized(idleByAddress) { idleByAddress[address]?.removeLastOrNull() } ?: return null
            if (connection.isReusable()) return connection
            connection.close()
        }
    }

    /** Keeps [connection]. If the address then has too many connections, the one idle for longest is closed. */
    fun put(address: String, connection: ClientConnection) {
        connection.markIdle()
        val surplus =
            synchronized(idleByAddress) {
                val connections = idleByAddress.getOrPut(address) { ArrayDeque() }
                connections.addLast(connection)
                if (connections.size > MAX_PER_ADDRESS) connections.removeFirst() else null
            }
        surplus?.close()
    }

    private companion object {
        const val MAX_PER_ADDRESS = 4
    }
}
