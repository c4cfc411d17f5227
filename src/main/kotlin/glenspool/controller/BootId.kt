package glenspool.controller

import glenspool.state.wallClock
import java.util.concurrent.ThreadLocalRandom

/**
 * Identifies this process: differs from that of any earlier process on this host, however soon it is back, since the
 * start's time is part of it. It is no secret; a secure generator would cost a tenth of the start-up.
 */
internal fun newBootId(): String {
    val random = ThreadLocalRandom.current().nextLong()
    return "${wallClock().inWholeMilliseconds}-${java.lang.Long.toHexString(random)}"
}
