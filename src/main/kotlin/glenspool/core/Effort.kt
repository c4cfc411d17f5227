package glenspool.core

/**
 * What the core has done so far, as counts. Processor time can't be asserted in a test, and differs from machine to
 * machine; these can, and show whether the work of an event grows with the fleet.
 */
class Effort {
    /** Machines scored for a job. */
    var scores = 0L

    /** Jobs looked at for what has to be stored. */
    var storeLooks = 0L

    /** Machines looked at for commands to send. */
    var orderLooks = 0L
    var rounds = 0L

    val total: Long get() = scores + storeLooks + orderLooks
}
