package glenspool.core

/**
 * Counts the scheduler's work. Processor time can't be asserted in a test, because it differs between machines. These
 * counts can be asserted, and show whether the work per event grows with the size of the fleet.
 */
class WorkCounters {
    /** Machines scored for a job. */
    var placementScores = 0L

    /** Jobs checked for changes to store. */
    var storeScans = 0L

    /** Machines checked for commands to send. */
    var commandScans = 0L

    /** Placement rounds. */
    var placementRounds = 0L

    val total: Long get() = placementScores + storeScans + commandScans
}
