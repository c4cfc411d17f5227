package glenspool.simulation

/**
 * The rate of each fault in a [ClusterSimulation]. Rates of messages, transactions and elections are the share of them
 * that is affected. All others are probabilities per second. Faults of machines affect one random machine.
 */
data class FaultRates(
    /** Messages and requests that are lost, or whose response is lost. */
    val messageLoss: Double = 0.0,
    /** Commands that are delivered up to a minute late, after the sender's timeout. */
    val delayedCommands: Double = 0.0,
    /** Answered commands of which a copy arrives later, after milliseconds to several leases. */
    val repeatedCommands: Double = 0.0,
    /** Transactions that were carried out and answered, of which a copy arrives within several leases. */
    val repeatedTransactions: Double = 0.0,
    /** Machines that are lost with all of their tasks. */
    val machineLosses: Double = 0.0,
    /** Machines that are partitioned for a while. Their tasks continue to run. */
    val machinePartitions: Double = 0.0,
    /** Machines that hang with their tasks for a while and then continue. */
    val hangs: Double = 0.0,
    /** Failovers, in which the leader ends and another is elected seconds later. */
    val failovers: Double = 0.0,
    /** Outages of the key-value store, during which all requests to it fail. */
    val storeOutages: Double = 0.0,
    /** Spot machines that receive a preemption notice. */
    val preemptionNotices: Double = 0.0,
    /** Machines whose heartbeats arrive, but that receive no answers and no commands. */
    val oneWayPartitions: Double = 0.0,
    /** Heartbeats that arrive a second time, after a delay of seconds to well over a lease. */
    val duplicateHeartbeats: Double = 0.0,
    /** Leaders that lose the key-value store and the other nodes, but keep their workers and answer them. */
    val leaderIsolations: Double = 0.0,
    /** Zones that are partitioned together with a controller, which renews the leases of the zone's workers. */
    val zonePartitions: Double = 0.0,
    /** Machines that restart within a fraction of a second, without tasks and with their counters reset. */
    val restarts: Double = 0.0,
    /** Machines whose heartbeats are lost and thus not answered, while commands still reach them. */
    val heartbeatOutages: Double = 0.0,
    /** Share of the transactions without a response that are committed immediately. */
    val immediateCommitShare: Double = 0.0,
    /** Heartbeats of which a copy reaches the next leader at the start of its term. */
    val heartbeatsForNextTerm: Double = 0.0,
    /** Bursts in which several running jobs are cancelled at about the same time and some of their machines hang. */
    val cancellationBursts: Double = 0.0,
    /** Machines on which a running task fails. */
    val taskFailures: Double = 0.0,
    /** Upper bound of the random additional delay, in seconds, before the cloud answers a deletion. */
    val maxDeletionDelaySeconds: Int = 0,
    /** Elected leaders that run the version in production, which does not support dependencies of jobs. */
    val oldVersionLeaders: Double = 0.0,
)

/** A fault that can be injected into machines of a [ClusterSimulation] for a given time. */
enum class MachineFault {
    /** The machine is partitioned: it neither sends nor receives until the fault is over. */
    CUT,

    /** The machine hangs with its tasks, and continues afterwards. */
    HANG,

    /** Heartbeats of the machine arrive, but it receives no answers and no commands. */
    UNREACHABLE,

    /** Heartbeats of the machine are lost, but commands reach it. */
    MUTE,

    /** The machine is lost permanently. */
    DIE,
}
