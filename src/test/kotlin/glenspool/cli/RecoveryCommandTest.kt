package glenspool.cli

import glenspool.controller.RecoveryReplies
import glenspool.http.HttpListener
import glenspool.peer.OperatorServer
import glenspool.peer.RecoveryReply
import glenspool.peer.RecoveryRequest
import glenspool.peer.RecoveryStatus
import glenspool.peer.RecoveryVerb
import glenspool.reconcile.BreakerState
import glenspool.reconcile.DifferenceKind
import glenspool.reconcile.DifferenceTotals
import glenspool.reconcile.GatheringProgress
import glenspool.reconcile.PhaseState
import glenspool.reconcile.RecoveryPhase
import glenspool.reconcile.RecoveryPolicy
import glenspool.reconcile.RecoverySnapshot
import glenspool.reconcile.StartKind
import glenspool.simulation.CapturedRun
import kotlinx.collections.immutable.persistentHashMapOf
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.seconds

class RecoveryCommandTest {
    private val snapshot =
        RecoverySnapshot(
            7,
            StartKind.COLD,
            PhaseState(RecoveryPhase.ADOPTING, 8.seconds),
            12.seconds,
            10.seconds,
            isPaused = true,
            isApproved = false,
            GatheringProgress(listOf(GatheringProgress.Group("a", "big", 4, 1))),
            DifferenceTotals(mapOf(DifferenceKind.ORPHAN_TASK to 2), 3, 4),
            0.75,
            BreakerState(true, 3, 4, 8.seconds, null),
            mapOf("stop" to 1L),
            persistentHashMapOf(),
        )
    private val recovery = RecoveryReplies.recovery(snapshot, RecoveryPolicy())
    private val status = RecoveryStatus("bobbin-0", "bobbin-0", true, mapOf("start.restored" to 3L), recovery)
    private val requests = ArrayList<RecoveryRequest>()
    private var reply = RecoveryReply(true, status = status)
    private val server =
        OperatorServer.forRecovery { request ->
            requests.add(request)
            reply
        }
    private val listener = HttpListener(InetSocketAddress("127.0.0.1", 0), "peer", 2, { server(it) })
    private val node = "127.0.0.1:${listener.port}"

    @AfterEach
    fun close() = listener.close()

    private fun run(vararg args: String) = CapturedRun.of { execute(listOf("recovery") + args) }

    @Test
    fun `status shows the orders, the phase, missing machines and held orders`() {
        val expected =
            listOf(
                "start.restored 3",
                "term 7 began as cold; phase adopting for 2.0 s, 2.0 s left at most",
                "PAUSED",
                "too few of a/big: 1 of 4",
                "3 of 4 stored places; settled 75%",
                "orphan-task: 2",
                "3 of 4 machines would get them",
                "at most each second: stop 1",
            )
        assertContainsAll(run("status", "--node", node).out, expected)
    }

    @Test
    fun `status is printed as JSON on request`() {
        val json = run("status", "--json", "--node", node).json()
        assertEquals("adopting", json.at("/status/recovery/phase").asText())
    }

    @Test
    fun `orders are sent with the operator's name`() {
        assertEquals(0, run("approve", "--node", node, "--by", "somebody").code)
        assertEquals(listOf(RecoveryRequest(RecoveryVerb.APPROVE, "somebody")), requests)
    }

    @Test
    fun `a rejected order is reported with its reason and the time until a retry`() {
        reply = RecoveryReply(false, "bobbin-1 does not lead; ask bobbin-0", 2)
        val rejected = run("pause", "--node", node)
        assertEquals(1, rejected.code)
        assertEquals("", rejected.out)
        assertEquals("glenspool: bobbin-1 does not lead; ask bobbin-0; try again in 2 s\n", rejected.err)
    }

    @Test
    fun `wrong usage is rejected without a request`() {
        val invalid =
            listOf(
                listOf(),
                listOf("mend", "--node", node),
                listOf("status"),
                listOf("status", "--node", "nowhere"),
                listOf("pause", "--node", node, "x"),
            )
        for (args in invalid) assertEquals(2, run(*args.toTypedArray()).code, "$args")
        assertEquals(emptyList<RecoveryRequest>(), requests)
    }
}
