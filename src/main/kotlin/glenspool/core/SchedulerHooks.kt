package glenspool.core

/** How a stored placement is handled when its machine shows that the task is not there. */
enum class MissingTaskPolicy {
    /** The placement is removed, and the task waits for a new one. */
    RESCHEDULE,

    /**
     * The task is started again on the same machine under its stored placement and attempt, if the machine's own
     * heartbeats are answered. Nothing has to be stored for that, and the machine already has the image.
     */
    RESTORE,

    /**
     * As [RESTORE], but the task waits if its machine is only temporarily unfit: a worker that has replied to requests
     * gets time to send a heartbeat, and a machine that does not reply gets time to be reached again.
     */
    RESTORE_AND_WAIT,
}

/** Extension points with which other components control and observe a scheduler. */
class SchedulerHooks(
    val gate: OrderGate = OrderGate { true },
    val observer: ClusterObserver = object : ClusterObserver {},
    /**
     * Whether a machine gets new work only while its own heartbeats are answered. A worker that replies to commands may
     * be unable to send heartbeats. Its lease then expires repeatedly, and each time it loses the tasks that it was
     * given in the meantime.
     */
    val newWorkRequiresWorkerHeartbeat: Boolean = false,
    /** How a task is handled that is missing on the machine where it was placed. */
    val missingTaskPolicy: () -> MissingTaskPolicy = { MissingTaskPolicy.RESCHEDULE },
    /** The fields `name=value` that log lines about missing tasks contain in addition, such as the recovery's phase. */
    val logFields: () -> String = { "" },
)
