package glenspool.api

import glenspool.config.WorkerSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How long a node that knows no leader renews workers' leases, in simulated time. */
class LeaseRenewalPolicyTest {
    private var now = Duration.ZERO

    private fun policy(lease: Duration = 24.seconds): LeaseRenewalPolicy {
        val workers =
            WorkerSettings(
                heartbeatInterval = 4.seconds,
                lease = lease,
                gangWait = 30.seconds,
                gangPeer = 8.seconds,
                cancellationDeadline = CANCELLATION_DEADLINE,
            )
        return LeaseRenewalPolicy(workers, otherNodeCount = 2) { now }
    }

    private fun LeaseRenewalPolicy.renewsIsolated(machine: String): Boolean =
        decide(
            machine,
            cancellationsCompleteUntil = now,
            isIsolated = true,
        ).isRenewed

    private fun LeaseRenewalPolicy.renewsConnected(machine: String, cancellationsCompleteUntil: Duration?): Boolean =
        decide(
            machine,
            cancellationsCompleteUntil,
            isIsolated = false,
        ).isRenewed

    @Test
    fun `an isolated node refuses each worker once per lease, and renews the lease if the worker returns`() {
        val policy = policy()
        policy.recordAnswer("m1")
        policy.recordAnswer("m2")
        assertFalse(policy.renewsIsolated("m1"))
        assertFalse(policy.renewsIsolated("m2"))
        now += 11.seconds
        // The worker found no other node, and its tasks must keep running.
        assertTrue(policy.renewsIsolated("m1"))
        policy.recordAnswer("m1")
        now += 13.seconds
        policy.recordAnswer("m1")
        // A leader may exist elsewhere by now.
        assertFalse(policy.renewsIsolated("m1"))
    }

    @Test
    fun `a refused worker returns before its lease expires, even in the worst case`() {
        val policy = policy()
        var answeredAt = Duration.ZERO
        var longest = Duration.ZERO
        while (now < 300.seconds) {
            now += 5.seconds
            if (policy.renewsIsolated("m1")) {
                policy.recordAnswer("m1")
                longest = maxOf(longest, now - answeredAt)
                answeredAt = now
            } else {
                // The other two nodes never answer. A request to each times out after 4 s, with 1 s between attempts.
                now += 11.seconds
            }
        }
        assertTrue(longest in 11.seconds..24.seconds, "$longest without an answer")
    }

    @Test
    fun `a worker that this node has not answered before has its lease renewed immediately`() {
        val policy = policy()
        // The worker is partitioned with its zone and has already tried two nodes without success. Another failed round
        // would take longer than its lease.
        assertTrue(policy.renewsIsolated("m1"))
        policy.recordAnswer("m1")
        now += 4.seconds
        assertFalse(policy.renewsIsolated("m1"))
        now += 11.seconds
        assertTrue(policy.renewsIsolated("m1"))
    }

    @Test
    fun `every lease is renewed in an outage if the node is not isolated`() {
        val policy = policy()
        repeat(50) {
            now += 4.seconds
            assertTrue(policy.renewsConnected("m1", cancellationsCompleteUntil = now))
        }
    }

    @Test
    fun `no worker is refused if its lease could expire during failed attempts at the other nodes`() {
        val policy = policy(lease = 12.seconds)
        assertEquals(List(9) { true }, List(9) { policy.renewsIsolated("m1") })
    }

    @Test
    fun `a node without cancellation data renews no lease, however short the leases are`() {
        for (lease in listOf(24.seconds, 14.seconds, 1.seconds)) {
            val policy = policy(lease)
            now = Duration.ZERO
            repeat(60) {
                assertFalse(policy.renewsConnected("m1", cancellationsCompleteUntil = null), "lease $lease at $now")
                now += 500.milliseconds
            }
            assertTrue(policy.renewsConnected("m1", cancellationsCompleteUntil = now))
        }
    }

    @Test
    fun `a leader that has just read the store renews leases even if they are longer than the deadline`() {
        val policy = policy(lease = CANCELLATION_DEADLINE + 10.seconds)
        now = 100.seconds
        assertTrue(policy.decideAsLeader(now - 1.seconds).isRenewed)
        assertFalse(policy.decideAsLeader(now - 7.seconds).isRenewed)
        assertFalse(policy.renewsConnected("m1", cancellationsCompleteUntil = now))
        assertFalse(policy.decideAsLeader(null).isRenewed)
    }

    @Test
    fun `no renewed lease outlasts the deadline of a cancellation that this node may not have received`() {
        val policy = policy()
        val complete = 100.seconds
        now = 123.seconds
        assertTrue(policy.renewsConnected("m1", complete))
        while (now < 200.seconds) {
            now += 100.milliseconds
            if (policy.renewsConnected("m1", complete)) {
                assertTrue(now + 24.seconds < complete + CANCELLATION_DEADLINE, "renewed at $now")
            }
        }
        assertFalse(policy.renewsConnected("m1", complete))
        // The moment up to which this node has every confirmed cancellation may lie in the future.
        assertTrue(policy.renewsConnected("m1", now + 5.seconds))
    }

    private companion object {
        val CANCELLATION_DEADLINE = 49.seconds
    }
}
