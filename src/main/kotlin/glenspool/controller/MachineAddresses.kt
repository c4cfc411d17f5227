package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.core.model.ListedMachine
import java.util.concurrent.ConcurrentHashMap

/**
 * The addresses of machines, read from the cloud's list page by page. A page that can't be read is asked for again, and
 * the pages before it are not, so that a slow cloud or one that refuses requests delays the list and does not prevent
 * it. Thread-safe; only one thread may call [readList].
 */
internal class MachineAddresses(private val cloud: CloudClient) {
    private val addresses = ConcurrentHashMap<String, String>()

    /** The last machine of the last page that was read; null at the beginning of the list. */
    @Volatile
    private var lastRead: String? = null

    /** Returns the machine's address, or null if it has not been listed so far. */
    fun of(machine: String): String? = addresses[machine]

    /** Reads the list from the page that follows the last one read to its end. Returns false if a page is not read. */
    fun readList(): Boolean {
        do {
            val page = cloud.readPage(lastRead) ?: return false
            page.machines.forEach(::remember)
            lastRead = page.machines.lastOrNull()?.id?.takeIf { page.hasNextPage }
        } while (lastRead != null)
        return true
    }

    private fun remember(machine: ListedMachine) = remember(machine.id, machine.addr)

    /** Remembers the machine's address; an empty one is not known. */
    fun remember(machine: String, addr: String) {
        if (addr.isNotEmpty()) addresses[machine] = addr
    }

    /** Forgets all addresses. */
    fun clear() {
        addresses.clear()
        lastRead = null
    }
}
