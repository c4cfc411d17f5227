package glenspool.core

/** The kind of an order that a controller sends. [label]: the name that operators see. */
enum class OrderKind(val label: String) {
    START("start"),
    STOP("stop"),
    FORGET("forget"),
    SCALE_OUT("rental"),
    DELETION("deletion"),
}

/**
 * Why an order was given. Every order carries a cause, so that all orders of a leader can be counted by kind and cause,
 * and code that gives a new kind of order does not compile without one.
 */
sealed interface OrderCause {
    val kind: OrderKind
    val name: String

    /** The name of the cause that operators see. */
    val label: String get() = name.lowercase().replace('_', '-')

    /** Kind and cause in the form that operators see, such as `stop.cancelled`. */
    val qualifiedLabel: String get() = "${kind.label}.$label"
}

/** Why a task is started. */
enum class StartCause : OrderCause {
    /** The task was placed in this term. */
    PLACED,

    /** The stored placement is still valid, and the machine showed that the task is not running there. */
    RESTORED,

    /** An earlier start of the same attempt was not answered, or was refused temporarily. */
    RETRIED,
    ;

    override val kind get() = OrderKind.START
}

/** Why a task is stopped. */
enum class StopCause : OrderCause {
    CANCELLED,
    PREEMPTED,

    /** The cloud preempts the machine. */
    NOTICE,

    /** Other tasks of its gang are gone. */
    GANG_BROKEN,

    /** The task has no stored placement on that machine, though its job is known. */
    ORPHANED,

    /** The key-value store contains no such job. */
    UNRECORDED,
    ;

    override val kind get() = OrderKind.STOP
}

/** Why a worker may forget an exited task. */
enum class ForgetCause : OrderCause {
    /** Its result is stored. */
    RECORDED,

    /** The task has no result that is still needed. */
    NO_RESULT,
    ;

    override val kind get() = OrderKind.FORGET
}

/** Why machines are rented. */
enum class ScaleOutCause : OrderCause {
    /** Services and gangs wait to be placed. */
    WAITING_WORK,

    /** Arrays have more work than the fleet can finish in time. */
    BACKLOG,

    /** Spare capacity for critical services that are likely to be submitted. */
    HEADROOM,
    ;

    override val kind get() = OrderKind.SCALE_OUT
}

/** Why a machine is deleted. */
enum class DeletionCause : OrderCause {
    /** The cloud reports that the machine stopped on its own. */
    FAILED,

    /** The cloud preempts the machine, and no work remains on it. */
    NOTICE,

    /** The machine has been booting for too long. */
    NEVER_CAME_UP,

    /** Cancelled work is still on the machine, and the deadline for its removal is close. */
    CANCELLED_WORK,

    /** Heartbeats of the machine arrive, but requests do not reach it. */
    UNREACHABLE,

    /** No heartbeat was received from the machine for too long. */
    SILENT,

    /** Its worker began anew and has forgotten which commands are outdated. */
    RESTARTED,

    /** The machine is idle, and no work is expected to need it. */
    NOT_NEEDED,
    ;

    override val kind get() = OrderKind.DELETION
}

/**
 * Counts the orders that a leader has given in its term, by cause. An order for several machines counts once per
 * machine. This class is thread-safe.
 */
class OrderCounts {
    private val counts = LinkedHashMap<OrderCause, Long>()

    /** Adds [orders] to the count of [cause]. */
    @Synchronized
    fun add(cause: OrderCause, orders: Int = 1) {
        counts.merge(cause, orders.toLong(), Long::plus)
    }

    /** Returns a copy sorted by kind and cause, without causes that have no orders. */
    @Synchronized
    fun snapshot(): Map<OrderCause, Long> =
        counts.entries
            .sortedWith(compareBy({ it.key.kind }, { it.key.name }))
            .associateTo(LinkedHashMap()) { it.key to it.value }

    override fun toString(): String = describe(snapshot())

    companion object {
        /** Returns the counts as text for one log line, such as `start.placed=12 stop.cancelled=3`. */
        fun describe(counts: Map<OrderCause, Long>): String =
            counts.entries.joinToString(" ") { (cause, number) -> "${cause.qualifiedLabel}=$number" }
    }
}
