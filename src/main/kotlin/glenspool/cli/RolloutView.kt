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
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Shows a rollout live in a terminal. No other command loads the terminal library. */
internal object RolloutView {
    private val REFRESH_INTERVAL = 1.seconds
    private val KEY_POLL_INTERVAL = 50.milliseconds

    /** Shows the result of [requestStatus], which is called once a second, until `q` or escape is pressed. */
    fun run(requestStatus: () -> OperatorAnswer<RolloutReply>): Int = run(UnixTerminal(), requestStatus)

    /** Shows the result of [requestStatus] in [terminal] until `q` or escape is pressed. */
    fun run(terminal: Terminal, requestStatus: () -> OperatorAnswer<RolloutReply>): Int {
        val screen = TerminalScreen(terminal)
        screen.startScreen()
        try {
            screen.cursorPosition = null
            while (true) {
                draw(screen, requestStatus())
                if (isQuitPressed(screen)) return ExitCode.OK
            }
        } finally {
            screen.stopScreen()
        }
    }

    /** Waits for keys until the next refresh is due. */
    private fun isQuitPressed(screen: Screen): Boolean {
        val lastRefresh = TimeSource.Monotonic.markNow()
        while (lastRefresh.elapsedNow() < REFRESH_INTERVAL) {
            val key = screen.pollInput()
            if (key != null && isQuit(key)) return true
            if (key == null) Thread.sleep(KEY_POLL_INTERVAL.inWholeMilliseconds)
        }
        return false
    }

    private fun isQuit(key: KeyStroke) =
        key.keyType == KeyType.Escape || key.keyType == KeyType.EOF || key.character == 'q'

    private fun draw(screen: Screen, answer: OperatorAnswer<RolloutReply>) {
        screen.doResizeIfNecessary()
        screen.clear()
        val graphics = screen.newTextGraphics()
        lines(answer).take(screen.terminalSize.rows).forEachIndexed { row, line -> draw(graphics, row, line) }
        screen.refresh()
    }

    private class Line(val text: String, val color: TextColor)

    private fun draw(graphics: TextGraphics, row: Int, line: Line) {
        graphics.foregroundColor = line.color
        graphics.putString(TerminalPosition(0, row), line.text.take(graphics.size.columns))
    }

    private fun lines(answer: OperatorAnswer<RolloutReply>): List<Line> =
        when (answer) {
            is OperatorAnswer.Failed -> listOf(Line(answer.reason, TextColor.ANSI.RED))
            is OperatorAnswer.Replied ->
                answer.reply.status?.let(::lines) ?: listOf(Line("no status", TextColor.ANSI.RED))
        }

    private fun lines(status: RolloutStatus): List<Line> {
        val text = RolloutText.status(status).map { Line(it, color(it, status)) }
        val plan = RolloutText.plan(status).map { Line("  $it", TextColor.ANSI.DEFAULT) }
        return text + Line("next:", TextColor.ANSI.CYAN) + plan + Line("q: quit", TextColor.ANSI.BLUE)
    }

    private fun color(line: String, status: RolloutStatus): TextColor {
        val isDone = status.hold == null && status.level == status.target
        return when {
            line.startsWith("FENCED") || line.startsWith("health:") -> TextColor.ANSI.RED
            line.startsWith("held:") || "not reachable" in line -> TextColor.ANSI.YELLOW
            line.startsWith("active level") && isDone -> TextColor.ANSI.GREEN
            else -> TextColor.ANSI.DEFAULT
        }
    }
}
