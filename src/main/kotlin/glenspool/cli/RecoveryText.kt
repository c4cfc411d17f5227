package glenspool.cli

import glenspool.peer.DifferenceList
import glenspool.peer.RecoveryStatus

/** Renders the replies of `glenspool recovery` as lines of text. */
internal object RecoveryText {
    private const val PERCENT = 100

    fun status(status: RecoveryStatus): List<String> =
        buildList {
            add("controller ${status.node}, leader ${status.leader ?: "unknown"}")
            status.orders?.let { add("orders of this term: ${counts(it).ifEmpty { "none" }}") }
            val recovery = status.recovery
            when {
                !status.managed -> add("recovery is not managed; the controller is started without --recovery")
                status.orders == null -> add("ask the leader how far recovery is")
                recovery == null -> add("this term began as usual: nothing has to be recovered")
                else -> addAll(recovery(recovery))
            }
        }

    private fun recovery(recovery: RecoveryStatus.Recovery): List<String> =
        buildList {
            val phaseSeconds = "%.1f".format(recovery.phaseSeconds)
            val timeLeft = recovery.leftSeconds?.let { ", %.1f s left at most".format(it) }.orEmpty()
            val phase = "phase ${recovery.phase} for $phaseSeconds s$timeLeft"
            add("term ${recovery.token} began as ${recovery.start}; $phase")
            if (recovery.paused) add("PAUSED by an operator")
            add("machines heard: ${recovery.heardMachines} of ${recovery.expectedMachines}")
            recovery.lacking.forEach { add("  too few of $it") }
            val settledPercent = "%.0f".format(recovery.settledShare * PERCENT)
            val confirmed = "${recovery.confirmedTasks} of ${recovery.adoptedTasks} stored places"
            add("work confirmed: $confirmed; settled $settledPercent%")
            recovery.differences.forEach { (kind, number) -> add("  $kind: $number") }
            recovery.breaker?.let { add("HELD: $it; 'recovery approve' lets them go on") }
            add("at most each second: ${counts(recovery.ordersPerSecond)}")
        }

    private fun counts(numbers: Map<String, Number>) = numbers.entries.joinToString(", ") { "${it.key} ${it.value}" }

    fun differences(list: DifferenceList): List<String> =
        buildList {
            val isPartial = list.listed.size < list.total
            val part = if (isPartial) ", of which the first ${list.listed.size}" else ""
            add("${list.total} differences$part")
            list.listed.forEach { add(difference(it)) }
        }

    private fun difference(difference: DifferenceList.Entry): String {
        val task = difference.task?.let { " $it" }.orEmpty()
        val detail = if (difference.detail.isEmpty()) "" else "${difference.detail} "
        val age = "%.1f s ago".format(difference.ageSeconds)
        return "${difference.kind} ${difference.machine}$task $detail(${difference.source}, $age)"
    }
}
