package glenspool.core

/** What becomes of a stored placement whose machine shows that the task is not there. */
enum class MissingTaskPolicy {
    /** The placement is given up, and the task waits for another one. */
    RESCHEDULE,

    /**
     * The task is started again on the same machine under its stored placement and attempt, if the machine's own
     * heartbeats are answered. That changes nothing of what is stored, and the image is there.
     */
    RESTORE,

    /** The same, and a machine that has only answered requests so far is given time to send a heartbeat by itself. */
    RESTORE_AND_WAIT,
}

/** What is attached to a scheduler from outside. */
class SchedulerHooks(
    val gate: OrderGate = OrderGate { true },
    val observer: ClusterObserver = object : ClusterObserver {},
    /**
     * Whether a machine is fit for new work only while its own heartbeats are answered. A worker that answers commands
     * may be unable to send heartbeats: its lease expires again and again, with all that it was given meanwhile.
     */
    val newWorkRequiresWorkerHeartbeat: Boolean = false,
    /** What becomes of a task that is gone from the machine where it was placed. */
    val missingTaskPolicy: () -> MissingTaskPolicy = { MissingTaskPolicy.RESCHEDULE },
)
