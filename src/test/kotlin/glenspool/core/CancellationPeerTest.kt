package glenspool.core

import glenspool.core.cluster.CancellationPeer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What may be relied on after another controller was found to run a version that exchanges no cancellations. */
class CancellationPeerTest {
    private val peer = CancellationPeer(start = Duration.ZERO)

    @Test
    fun `the coverage goes back to the last reply of the version that promised to wait`() {
        peer.coverByStoreRead(2.seconds)
        peer.recordReply(5.seconds, acknowledgedNumber = 0)
        peer.coverByClaim(19.seconds)
        peer.markUnsupported(12.seconds)
        assertEquals(5.seconds, peer.coveredUpTo)
    }

    @Test
    fun `a peer that was never heard in a version that waits is covered only by reads of the store`() {
        peer.coverByClaim(19.seconds)
        peer.markUnsupported(12.seconds)
        assertNull(peer.coveredUpTo)
        peer.coverByStoreRead(13.seconds)
        assertEquals(13.seconds, peer.coveredUpTo)
    }

    // A third controller that has not noticed the old version may still claim what the promise before it allowed.
    @Test
    fun `claims that may rest on the promise stay invalid when the version changes back`() {
        peer.recordReply(5.seconds, acknowledgedNumber = 0)
        peer.coverByStoreRead(6.seconds)
        peer.markUnsupported(12.seconds)
        peer.coverByClaim(19.seconds)
        assertEquals(6.seconds, peer.coveredUpTo)
        peer.recordReply(14.seconds, acknowledgedNumber = 0)
        peer.coverByClaim(19.seconds)
        assertEquals(6.seconds, peer.coveredUpTo)
        peer.coverByClaim(28.seconds)
        assertEquals(28.seconds, peer.coveredUpTo)
    }
}
