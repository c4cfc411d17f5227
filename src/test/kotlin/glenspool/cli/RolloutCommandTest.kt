package glenspool.cli

import com.googlecode.lanterna.TerminalSize
import com.googlecode.lanterna.input.KeyStroke
import com.googlecode.lanterna.terminal.virtual.DefaultVirtualTerminal
import glenspool.http.HttpListener
import glenspool.peer.OperatorServer
import glenspool.peer.RolloutReply
import glenspool.peer.RolloutRequest
import glenspool.peer.RolloutStatus
import glenspool.peer.RolloutVerb
import glenspool.simulation.CapturedRun
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress

class RolloutCommandTest {
    private val requests = ArrayList<RolloutRequest>()
    private var reply = RolloutReply(true, status = STATUS)
    private val server =
        OperatorServer.forRollout { request ->
            requests.add(request)
            reply
        }
    private val listener =
        HttpListener(InetSocketAddress("127.0.0.1", 0), "peer", 2) { request ->
            if (request.uri.path == "/peer/rollout") server(request) else Response(Status.NOT_FOUND)
        }
    private val node = "127.0.0.1:${listener.port}"

    @AfterEach
    fun close() = listener.close()

    private fun run(vararg args: String) = CapturedRun.of { execute(listOf("rollout") + args) }

    @Test
    fun `status shows levels, the hold and the members`() {
        val status = run("status", "--node", node)
        assertEquals(0, status.code)
        val expected =
            listOf(
                "active level 1 (sealed-records, active)",
                "target 2",
                "held: member_old_build by bobbin-2 (build-1)",
                "bobbin-2: build-1, highest level 1, ready for 7 s",
            )
        assertContainsAll(status.out, expected)
        assertEquals(setOf(RolloutVerb.STATUS), requests.map { it.verb }.toSet())
    }

    @Test
    fun `plan shows the remaining steps`() {
        val expected = "1. replace bobbin-2\n2. replace bobbin-0 (it leads, so it comes last)\n"
        assertEquals(expected, run("plan", "--node", node).out)
        assertEquals(setOf(RolloutVerb.STATUS), requests.map { it.verb }.toSet())
    }

    @Test
    fun `status is printed as JSON on request`() {
        val status = run("status", "--json", "--node", node).json().path("status")
        assertEquals("bobbin-2", status.path("holdMember").asText())
        assertEquals(1, status.path("level").asInt())
        assertEquals(setOf(RolloutVerb.STATUS), requests.map { it.verb }.toSet())
    }

    @Test
    fun `orders are sent with their argument and the operator's name`() {
        assertEquals(0, run("activate", "--node", node, "--by", "somebody", "2").code)
        assertEquals(0, run("exclude", "--node", node, "--by", "somebody", "bobbin-2").code)
        val expected =
            listOf(
                RolloutRequest(RolloutVerb.ACTIVATE, 2, null, "somebody"),
                RolloutRequest(RolloutVerb.EXCLUDE, null, "bobbin-2", "somebody"),
            )
        assertEquals(expected, requests)
    }

    @Test
    fun `a rejected order is reported with its reason and the time until a retry`() {
        reply = RolloutReply(false, "level 9 is not known", 2)
        val rejected = run("deactivate", "--node", node, "9")
        assertEquals(1, rejected.code)
        assertEquals("", rejected.out)
        assertEquals("glenspool: level 9 is not known; try again in 2 s\n", rejected.err)
    }

    @Test
    fun `wrong usage is rejected without a request`() {
        val invalid =
            listOf(
                listOf(),
                listOf("dance", "--node", node),
                listOf("status"),
                listOf("status", "--node", "nowhere"),
                listOf("status", "--node", node, "x"),
                listOf("activate", "--node", node),
                listOf("activate", "--node", node, "one"),
                listOf("activate", "--node", node, "0"),
                listOf("exclude", "--node", node),
            )
        for (args in invalid) assertEquals(2, run(*args.toTypedArray()).code, "$args")
        assertEquals(emptyList<RolloutRequest>(), requests)
    }

    @Test
    fun `a controller that does not manage rollouts is distinguished from an unreachable one`() {
        HttpListener(InetSocketAddress("127.0.0.1", 0), "other", 2) { Response(Status.NOT_FOUND) }.use { other ->
            assertTrue("does not manage rollouts" in run("status", "--node", "127.0.0.1:${other.port}").err)
        }
        assertEquals(1, run("status", "--node", "127.0.0.1:1").code)
    }

    @Test
    fun `the live view ends when q is pressed, and other keys are ignored`() {
        val terminal = DefaultVirtualTerminal(TerminalSize(COLUMNS, ROWS))
        terminal.addInput(KeyStroke.fromString("x"))
        terminal.addInput(KeyStroke.fromString("q"))
        var isFirst = true
        val code =
            RolloutView.run(terminal) {
                if (isFirst) terminal.addInput(KeyStroke.fromString("q"))
                isFirst = false
                OperatorAnswer.Replied(RolloutReply(true, status = STATUS))
            }
        assertEquals(0, code)
    }

    @Test
    fun `the live view shows the status and the plan`() {
        val terminal = DefaultVirtualTerminal(TerminalSize(COLUMNS, ROWS))
        var shown = ""
        // The screen is cleared when the view ends, so it is read at the next refresh.
        RolloutView.run(terminal) {
            shown = textOf(terminal)
            if (shown.isNotBlank()) terminal.addInput(KeyStroke.fromString("q"))
            OperatorAnswer.Replied(RolloutReply(true, status = STATUS))
        }
        assertTrue("active level 1 (sealed-records, active)" in shown, shown)
        assertTrue("1. replace bobbin-2" in shown, shown)
        assertFalse("FENCED" in shown)
    }

    private fun textOf(terminal: DefaultVirtualTerminal): String =
        (0 until ROWS).joinToString("\n") { row ->
            (0 until COLUMNS).joinToString("") { column -> terminal.getCharacter(column, row).characterString }
        }

    private companion object {
        const val COLUMNS = 100
        const val ROWS = 20
        val MEMBER = RolloutStatus.Member("bobbin-2", "build-1", 1, true, 7, 9, 0)
        val STATUS =
            RolloutStatus(
                node = "bobbin-0",
                leader = "bobbin-0",
                build = "build-2",
                lowest = 0,
                highest = 2,
                level = 1,
                levelName = "sealed-records",
                stage = "active",
                levelChangedAt = 5,
                levelProblem = null,
                fence = null,
                target = 2,
                mode = "automatic",
                approvedLevel = null,
                lowerTo = null,
                excluded = emptyList(),
                hold = "member_old_build",
                holdMember = "bobbin-2",
                holdDetail = "build-1",
                heldSince = 5,
                members = listOf(MEMBER),
                health = emptyList(),
                plan = listOf("replace bobbin-2", "replace bobbin-0 (it leads, so it comes last)"),
                recordsInLevel = 3,
            )
    }
}
