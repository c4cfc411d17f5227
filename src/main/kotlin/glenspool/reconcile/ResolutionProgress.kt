package glenspool.reconcile

/** Measures the share of adopted placements for which it is known whether their task still runs. */
internal class ResolutionProgress {
    private val milestones = ArrayDeque(listOf(0.5, 0.9, 0.99))

    /** The largest number of adopted placements so far, to which the share refers. */
    private var maxAdoptedPlacements = 0

    /** Applies the newest totals and returns the milestones that are reached for the first time. */
    fun update(totals: DifferenceTotals): List<Double> {
        maxAdoptedPlacements = maxOf(maxAdoptedPlacements, totals.adopted)
        if (maxAdoptedPlacements == 0) return emptyList()
        val share = share(totals)
        val reached = milestones.takeWhile { share >= it }
        repeat(reached.size) { milestones.removeFirst() }
        return reached
    }

    /** Returns the resolved share, or 1 if no placement was adopted. */
    fun share(totals: DifferenceTotals): Double {
        if (maxAdoptedPlacements == 0) return 1.0
        return 1.0 - totals.unconfirmed.toDouble() / maxAdoptedPlacements
    }
}
