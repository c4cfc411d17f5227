package glenspool.reconcile

/** Measures for how much of the adopted placements it is known by now whether their task still runs. */
internal class ResolutionProgress {
    private val milestones = ArrayDeque(listOf(0.5, 0.9, 0.99))

    /** The largest number of adopted placements seen so far; the share refers to it. */
    private var mostAdopted = 0

    /** Takes the newest totals into account and returns the milestones that are reached now for the first time. */
    fun update(totals: DifferenceTotals): List<Double> {
        mostAdopted = maxOf(mostAdopted, totals.adopted)
        if (mostAdopted == 0) return emptyList()
        val share = share(totals)
        val reached = milestones.takeWhile { share >= it }
        repeat(reached.size) { milestones.removeFirst() }
        return reached
    }

    /** The resolved share; 1 if nothing was adopted. */
    fun share(totals: DifferenceTotals): Double {
        if (mostAdopted == 0) return 1.0
        return 1.0 - totals.unconfirmed.toDouble() / mostAdopted
    }
}
