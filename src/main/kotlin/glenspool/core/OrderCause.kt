package glenspool.core

/** What kind of order leaves a controller. [label]: its name as operators read it. */
enum class OrderKind(val label: String) {
    START("start"),
    STOP("stop"),
    FORGET("forget"),
    SCALE_OUT("rental"),
    DELETION("deletion"),
}

/**
 * Why an order was given. Every order carries one, so that all that a leader did can be counted by kind and cause, and
 * a new way to give an order does not compile without saying why.
 */
sealed interface OrderCause {
    val kind: OrderKind
    val name: String

    /** The cause as operators read it. */
    val label: String get() = name.lowercase().replace('_', '-')

    /** Kind and cause as operators read them, such as `stop.cancelled`. */
    val qualifiedLabel: String get() = "${kind.label}.$label"
}

/** Why a task is started. */
enum class StartCause : OrderCause {
    /** It was placed in this term. */
    PLACED,

    /** Its stored placement still holds, and its machine showed that it is not running there. */
    RESTORED,

    /** An earlier start of the same attempt had no answer, or was refused for the moment. */
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

    /** The key-value store knows no such job. */
    UNRECORDED,
    ;

    override val kind get() = OrderKind.STOP
}

/** Why a worker may forget an exited task. */
enum class ForgetCause : OrderCause {
    /** Its result is stored. */
    RECORDED,

    /** It has no result that anybody needs. */
    NO_RESULT,
    ;

    override val kind get() = OrderKind.FORGET
}

/** Why machines are rented. */
enum class ScaleOutCause : OrderCause {
    /** Services and gangs wait to be placed. */
    WAITING_WORK,

    /** Arrays have more work than the fleet gets through in time. */
    BACKLOG,

    /** Spare capacity for critical services that are likely to come. */
    HEADROOM,
    ;

    override val kind get() = OrderKind.SCALE_OUT
}

/** Why a machine is deleted. */
enum class DeletionCause : OrderCause {
    /** The cloud says that it stopped by itself. */
    FAILED,

    /** The cloud preempts it, and nothing is left on it. */
    NOTICE,

    /** It has been booting for too long. */
    NEVER_CAME_UP,

    /** Cancelled work is still on it, and its time is nearly over. */
    CANCELLED_WORK,

    /** It is heard, and no request reaches it. */
    UNREACHABLE,

    /** It was not heard for too long. */
    SILENT,

    /** Nothing is on it, and nothing is expected to need it. */
    NOT_NEEDED,
    ;

    override val kind get() = OrderKind.DELETION
}

/**
 * How many orders a leader has given in its term, by cause. Machines are counted where an order names several. Any
 * thread may read it.
 */
class OrderCounts {
    private val counts = LinkedHashMap<OrderCause, Long>()

    /** Counts [orders] of the cause. */
    @Synchronized
    fun add(cause: OrderCause, orders: Int = 1) {
        counts.merge(cause, orders.toLong(), Long::plus)
    }

    /** A copy, by kind and cause; causes that never came up are left out. */
    @Synchronized
    fun snapshot(): Map<OrderCause, Long> =
        counts.entries
            .sortedWith(compareBy({ it.key.kind }, { it.key.name }))
            .associateTo(LinkedHashMap()) { it.key to it.value }

    override fun toString(): String = describe(snapshot())

    companion object {
        /** As one line of the log: `start.placed=12 stop.cancelled=3`. */
        fun describe(counts: Map<OrderCause, Long>): String =
            counts.entries.joinToString(" ") { (cause, number) -> "${cause.qualifiedLabel}=$number" }
    }
}
