package glenspool.config

import glenspool.core.model.Objective
import glenspool.core.model.Team
import java.net.InetSocketAddress
import kotlin.time.Duration

/** Another controller of the service, with its zone and its internal address. */
data class Member(val name: String, val zone: String, val addr: InetSocketAddress)

/**
 * Intervals and timeouts of the worker protocol: how often a worker sends a heartbeat, how long its lease lasts without
 * one, how long the tasks of a gang wait for each other before the start and after the loss of one, and how long a
 * cancelled task may continue to run.
 */
data class WorkerSettings(
    val heartbeatInterval: Duration,
    val lease: Duration,
    val gangWait: Duration,
    val gangPeer: Duration,
    val cancellationDeadline: Duration,
)

/**
 * The key-value store's limits.
 *
 * @property rps requests per second, reads and writes together
 * @property writeRps writes per second
 * @property valueBytes size of one value in bytes
 * @property txnOps operations of one transaction
 */
data class StoreLimits(val rps: Double, val writeRps: Double, val valueBytes: Int, val txnOps: Int) {
    /** Returns the stricter value of each limit. */
    fun strictest(other: StoreLimits) =
        StoreLimits(
            minOf(rps, other.rps),
            minOf(writeRps, other.writeRps),
            minOf(valueBytes, other.valueBytes),
            minOf(txnOps, other.txnOps),
        )
}

/**
 * The key-value store's [current] limits, and those [announced] to replace them, if any. The store changes over to the
 * announced limits without notice.
 */
data class StoreSettings(val current: StoreLimits, val announced: StoreLimits?) {
    /** The limits to observe: the stricter value of each, since the time of the change is not known. */
    val effective: StoreLimits = announced?.let { current.strictest(it) } ?: current
}

/** The cloud's limit in requests per second, and the maximum lag of its list of machines. */
data class CloudSettings(val rps: Double, val listLag: Duration)

/**
 * The validated settings from the platform's file.
 *
 * @property apiAddr address to which users and workers connect
 * @property internalAddr address to which the other controllers and operators connect
 * @property members the other controllers of the service
 * @property maxClockSkew maximum difference between the clocks of two hosts
 * @property maxSockets maximum number of open sockets of the process
 */
data class Settings(
    val node: String,
    val zone: String,
    val apiAddr: InetSocketAddress,
    val internalAddr: InetSocketAddress,
    val members: List<Member>,
    val cloudAddr: InetSocketAddress,
    val storeAddr: InetSocketAddress,
    val zones: List<String>,
    val maxClockSkew: Duration,
    val teams: List<Team>,
    val objectives: List<Objective>,
    val workers: WorkerSettings,
    val storeLimits: StoreSettings,
    val cloudLimits: CloudSettings,
    val maxSockets: Int,
)

/** A settings file, a policy file or a script is invalid. Each of [problems] names one error and its location. */
class SettingsError(val problems: List<String>) : Exception(problems.joinToString("; "))
