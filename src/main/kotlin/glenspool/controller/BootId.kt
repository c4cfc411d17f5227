package glenspool.controller

import glenspool.state.wallClock
import java.util.concurrent.ThreadLocalRandom

/**
 * Returns an identifier for this process. It differs from that of any earlier process on this host, however quickly the
 * process was restarted, because it contains the start time. It need not be secret, and a secure random generator would
 * take a tenth of the start-up time.
 */
internal fun newBootId(): String {
    val random = ThreadLocalRandom.current().nextLong()
    return "${wallClock().inWholeMilliseconds}-${java.lang.Long.toHexString(random)}"
}
