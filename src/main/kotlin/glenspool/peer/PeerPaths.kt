package glenspool.peer

/** Paths of the requests between controllers. A version that does not support a path answers 404. */
object PeerPaths {
    const val STATUS = "/peer/status"
    const val RELAY = "/peer/relay"

    /**
     * For submissions with dependencies. They have a separate path because a version that does not support dependencies
     * would start the jobs immediately.
     */
    const val RELAY_WITH_DEPENDENCIES = "/peer/relay-chained"

    /** The exchange of cancellations. A version that does not support the path does not take part. */
    const val CANCELLATIONS = "/peer/cancellations"

    /** Operators' queries and commands for the rollout; 404 where levels are not managed. */
    const val ROLLOUT = "/peer/rollout"

    /** Operators' queries and commands for a leader's orders and its recovery. */
    const val RECOVERY = "/peer/recovery"
}
