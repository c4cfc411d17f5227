package glenspool.cli

import com.fasterxml.jackson.databind.ObjectMapper
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
    private val asked = ArrayList<RolloutRequest>()
    private var reply = RolloutReply(true, status = STATUS)
    private val server =
        OperatorServer.forRollout { request ->
            asked.add(request)
            reply
        }
    private val listener =
        HttpListener(InetSocketAddress("127.0.0.1", 0), "peer", 2, {
            if (it.uri.path ==
                "/peer/rollout"
            ) {
                server(it)
            } else {
                Response(Status.NOT_FOUND)
            }
        })
    private val node = "127.0.0.1:${listener.port}"

    @AfterEach
    fun close() = listener.close()

    private fun run(vararg args: String) = CapturedRun.of { execute(listOf("rollout") + args) }

    @Test
    fun `status and plan are told in words and in JSON`() {
        val status = run("status", "--node", node)
        val text = status.out
        assertEquals(0, status.code)
        val parts =
            listOf(
                "active level 1 (sealed-records, active)", "target 2", "held: member_old_build by bobbin-2 (build-1)", "bobbin-2: build-1, highest level 1, ready for 7 s",
            )
        parts.forEach { assertTrue(it in text, "$it in $text") }
        assertEquals(
            "1. replace bobbin-2\n2. replace bobbin-0 (it leads, so it comes last)\n",
            run("plan", "--node", node)
                .out,
        )
        val json = ObjectMapper().readTree(run("status", "--json", "--node", node).out)
        assertEquals("bobbin-2", json.path("status").path("holdMember").asText())
        assertEquals(1, json.path("status").path("level").asInt())
        assertEquals(setOf(RolloutVerb.STATUS), asked.map { it.verb }.toSet())
    }

    @Test
    fun `orders are passed on with who gave them, and refusals are told`() {
        assertEquals(0, run("activate", "--node", node, "--by", "somebody", "2").code)
        assertEquals(0, run("exclude", "--node", node, "--by", "somebody", "bobbin-2").code)
        assertEquals(listOf(RolloutRequest(RolloutVerb.ACTIVATE, 2, null, "somebody"), RolloutRequest(RolloutVerb.EXCLUDE, null, "bobbin-2", "somebody")), asked)
        reply = RolloutReply(false, "level 9 is not known", 2)
        val refused = run("deactivate", "--node", node, "9")
        assertEquals(1, refused.code)
        assertEquals("" to "glenspool: level 9 is not known; try again in 2 s\n", refused.out to refused.err)
    }

    @Test
    fun `wrong usage is refused before anybody is asked`() {
        val wrong =
            listOf(
                listOf(), listOf("dance", "--node", node), listOf("status"), listOf("status", "--node", "nowhere"), listOf("status", "--node", node, "x"),
                listOf("activate", "--node", node), listOf("activate", "--node", node, "one"), listOf("activate", "--node", node, "0"), listOf("exclude", "--node", node),
            )
        for (args in wrong) assertEquals(2, run(*args.toTypedArray()).code, "$args")
        assertEquals(emptyList<RolloutRequest>(), asked)
    }

    @Test
    fun `a controller that does not manage levels, or is not there, is told apart`() {
        val other = HttpListener(InetSocketAddress("127.0.0.1", 0), "other", 2, { Response(Status.NOT_FOUND) })
        assertTrue("does not manage rollouts" in run("status", "--node", "127.0.0.1:${other.port}").err)
        other.close()
        assertEquals(1, run("status", "--node", "127.0.0.1:1").code)
    }

    @Test
    fun `the live view shows what the controller says and ends with a key`() {
        val terminal = DefaultVirtualTerminal(TerminalSize(100, 20))
        terminal.addInput(KeyStroke.fromString("x"))
        terminal.addInput(KeyStroke.fromString("q"))
        var shown = ""
        var answers = 0
        assertEquals(
            0,
            RolloutView.run(terminal) {
                if (answers++ == 0) terminal.addInput(KeyStroke.fromString("q"))
                OperatorAnswer.Replied(RolloutReply(true, status = STATUS))
            },
        )
        val watched = DefaultVirtualTerminal(TerminalSize(100, 20))
        // The screen is left when the view ends, so it is read while it is shown.
        RolloutView.run(watched) {
            shown =
                (0 until 20).joinToString("\n") { row ->
                    (0 until 100).joinToString("") { column ->
                        watched
                            .getCharacter(column, row)
                            .characterString
                    }
                }
            if (shown.isNotBlank()) watched.addInput(KeyStroke.fromString("q"))
            OperatorAnswer.Replied(RolloutReply(true, status = STATUS))
        }
        assertTrue("active level 1 (sealed-records, active)" in shown, shown)
        assertTrue("1. replace bobbin-2" in shown, shown)
        assertFalse("FENCED" in shown)
    }

    private companion object {
        val STATUS =
            RolloutStatus(
                node = "bobbin-0", leader = "bobbin-0", build = "build-2", lowest = 0, highest = 2, level = 1, levelName = "sealed-records", stage = "active",
                levelChangedAt = 5, levelProblem = null, fence = null, target = 2, mode = "automatic", approvedLevel = null, lowerTo = null, excluded = emptyList(),
                hold = "member_old_build", holdMember = "bobbin-2", holdDetail = "build-1", heldSince = 5,
                members = listOf(RolloutStatus.Member("bobbin-2", "build-1", 1, true, 7, 9, 0)), health = emptyList(),
                plan = listOf("replace bobbin-2", "replace bobbin-0 (it leads, so it comes last)"), recordsInLevel = 3,
            )
    }
}
