package glenspool.simulation

/**
 * How often each fault occurs in a [ClusterSimulation]. Rates of messages, transactions and elections are the share of
 * them that is hit. All others are chances per second; those of machines hit one machine drawn at random.
 */
data class FaultRates(
    /** Messages and requests, or the answers to them, that are lost. */
    val messageLoss: Double = 0.0,
    /** Commands that are delivered up to a minute late, when their sender has given up. */
    val delayedCommands: Double = 0.0,
    /** Machines that vanish with all that is on them. */
    val machineLosses: Double = 0.0,
    /** Machines that neither send nor receive for a while, while their tasks run on. */
    val machinePartitions: Double = 0.0,
    /** Machines that stop for a while, with their tasks, and then continue. */
    val hangs: Double = 0.0,
    /** The leader ends, and another is elected seconds later. */
    val failovers: Double = 0.0,
    /** The key-value store answers nobody for a while. */
    val storeOutages: Double = 0.0,
    /** Spot machines that receive an eviction notice. */
    val preemptionNotices: Double = 0.0,
    /** Machines whose heartbeats arrive while no answer and no command reaches them. */
    val oneWayPartitions: Double = 0.0,
    /** Heartbeats that arrive once more, seconds to well over a lease later. */
    val duplicateHeartbeats: Double = 0.0,
    /** The leader loses the key-value store and the other nodes, but keeps its workers and answers them. */
    val leaderIsolations: Double = 0.0,
    /** A whole zone is cut off from everything but a controller of its own, which keeps its workers' leases. */
    val zonePartitions: Double = 0.0,
    /** Machines that are back within a fraction of a second, empty and with their counters at the beginning. */
    val restarts: Double = 0.0,
    /** Machines whose heartbeats are lost, so that nobody answers them, while commands reach them. */
    val heartbeatOutages: Double = 0.0,
    /** Share of the transactions without an answer that are carried out at once. */
    val immediateCommitShare: Double = 0.0,
    /** Heartbeats of which a copy reaches the next leader as its term begins. */
    val heartbeatsForNextTerm: Double = 0.0,
    /** Some running jobs are cancelled at about the same moment, and some of their machines hang. */
    val cancellationBursts: Double = 0.0,
    /** Longest additional time, in seconds, after which the cloud answers a deletion. */
    val maxDeletionDelaySeconds: Int = 0,
    /** Leaders elected that are of the version in production, which does not know dependencies of jobs. */
    val oldVersionLeaders: Double = 0.0,
)

/** A fault that a test injects into machines of a [ClusterSimulation] for a given time. */
enum class MachineFault {
    /** Nothing is received from the machine, and nothing reaches it until the fault is over. */
    CUT,

    /** The machine stops, with its tasks, and continues afterwards. */
    HANG,

    /** Heartbeats of the machine arrive; no answer and no command reaches it. */
    UNREACHABLE,

    /** Heartbeats of the machine are lost; commands reach it. */
    MUTE,

    /** The machine vanishes for good. */
    DIE,
}
