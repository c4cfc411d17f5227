package glenspool.api

/** What a node does with a worker's lease when it does not redirect the worker, and why. */
enum class LeaseDecision(val isRenewed: Boolean) {
    /**
     * The lease ends before the deadline of any cancellation that the node may not have received, or the node leads and
     * has just read the key-value store.
     */
    RENEWED(true),

    /** The node knows no cancellations, because it has neither read the key-value store nor reached a node that has. */
    REFUSED_UNREAD(false),

    /** The lease could outlast the deadline of a cancellation that the node has not received. */
    REFUSED_OUTDATED(false),

    /** The node is isolated, and the worker may find a leader at another node. */
    REFUSED_ONCE(false),
}
