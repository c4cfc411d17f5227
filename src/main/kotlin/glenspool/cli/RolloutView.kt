package glenspool.cli

import com.googlecode.lanterna.TerminalPosition
import com.googlecode.lanterna.TextColor
import com.googlecode.lanterna.graphics.TextGraphics
import com.googlecode.lanterna.input.KeyStroke
import com.googlecode.lanterna.input.KeyType
import com.googlecode.lanterna.screen.Screen
import com.googlecode.lanterna.screen.TerminalScreen
import com.googlecode.lanterna.terminal.Terminal
import com.googlecode.lanterna.terminal.ansi.UnixTerminal
import glenspool.peer.RolloutReply
import glenspool.peer.RolloutStatus
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** The live view of a rollout in a terminal. The terminal library is loaded by this command alone. */
internal object RolloutView {
    private val REFRESH = 1000.milliseconds
    private val KEY_POLL = 50.milliseconds

    /** Shows what [ask] answers until `q` or escape is pressed. */
    fun run(ask: () -> OperatorAnswer<RolloutReply>): Int = run(UnixTerminal(), ask)

    fun run(terminal: Terminal, ask: () -> OperatorAnswer<RolloutReply>): Int {
        val screen = TerminalScreen(terminal)
        screen.startScreen()
        try {
            screen.cursorPosition = null
            while (true) {
                draw(screen, ask())
                if (quitPressed(screen)) return 0
            }
        } finally {
            screen.stopScreen()
        }
    }

    /** Waits for a key until the next refresh is due. */
    private fun quitPressed(screen: Screen): Boolean {
        val begun = TimeSource.Monotonic.markNow()
        while (begun.elapsedNow() < REFRESH) {
            val key = screen.pollInput()
            if (key != null && isQuit(key)) return true
            if (key == null) Thread.sleep(KEY_POLL.inWholeMilliseconds)
        }
        return false
    }

    private fun isQuit(key: KeyStroke) =
        key.keyType == KeyType.Escape || key.keyType == KeyType.EOF || key.character == 'q'

    private fun draw(screen: Screen, answer: OperatorAnswer<RolloutReply>) {
        screen.doResizeIfNecessary()
        screen.clear()
        val graphics = screen.newTextGraphics()
        linesOf(answer).take(screen.terminalSize.rows).forEachIndexed { row, line -> write(graphics, row, line) }
        screen.refresh()
    }

    private class Line(val text: String, val color: TextColor)

    private fun write(graphics: TextGraphics, row: Int, line: Line) {
        graphics.foregroundColor = line.color
        graphics.putString(TerminalPosition(0, row), line.text.take(graphics.size.columns))
    }

    private fun linesOf(answer: OperatorAnswer<RolloutReply>): List<Line> {
        val status =
            when (answer) {
                is OperatorAnswer.Failed -> return listOf(Line(answer.reason, TextColor.ANSI.RED))
                is OperatorAnswer.Replied -> answer.reply.status ?: return listOf(Line("no status", TextColor.ANSI.RED))
            }
        val text = RolloutText.status(status).map { Line(it, colorOf(it, status)) }
        val plan = RolloutText.plan(status).map { Line("  $it", TextColor.ANSI.DEFAULT) }
        return text + Line("next:", TextColor.ANSI.CYAN) + plan + Line("q: quit", TextColor.ANSI.BLUE)
    }

    private fun colorOf(line: String, status: RolloutStatus): TextColor =
        when {
            line.startsWith("FENCED") || line.startsWith("health:") -> TextColor.ANSI.RED
            line.startsWith("held:") || "not reachable" in line -> TextColor.ANSI.YELLOW
            line.startsWith("active level") && status.hold == null && status.level == status.target -> TextColor.ANSI.GREEN
            else -> TextColor.ANSI.DEFAULT
        }
}
