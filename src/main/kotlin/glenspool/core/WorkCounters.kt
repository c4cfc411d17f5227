package glenspool.core

/**
 * Counts of what the scheduler has done so far. Processor time can't be asserted in a test, and differs from machine to
 * machine; these can, and show whether the work of an event grows with the fleet.
 */
class WorkCounters {
    /** Machines scored for a job. */
    var placementScores = 0L

    /** Jobs looked at for what has to be stored. */
    var storeScans = 0L

    /** Machines looked at for commands to send. */
    var commandScans = 0L

    /** Placement rounds. */
    var placementRounds = 0L

    val total: Long get() = placementScores + storeScans + commandScans
}
