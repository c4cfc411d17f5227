package glenspool.config

import com.fasterxml.jackson.databind.JsonNode
import glenspool.core.model.Objective
import glenspool.core.model.Team
import java.io.File
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Another controller of the service. */
data class Member(val name: String, val zone: String, val addr: InetSocketAddress)

/** The times that workers keep to, see PROTOCOL. */
data class WorkerSettings(
    val heartbeatInterval: Duration,
    val lease: Duration,
    val gangWait: Duration,
    val gangPeer: Duration,
    val cancellationDeadline: Duration,
)

/** What the state service takes: requests and changes a second, bytes of a value, changes of a transaction. */
data class StoreLimits(val rps: Double, val writeRps: Double, val valueBytes: Int, val txnOps: Int) {
    /** What holds under both. */
    fun with(o: StoreLimits) = StoreLimits(minOf(rps, o.rps), minOf(writeRps, o.writeRps), minOf(valueBytes, o.valueBytes), minOf(txnOps, o.txnOps))
}

/**
 * The state service's limits: [now], and what they may be from some moment on, without notice, as far as that is known.
 */
data class StoreSettings(val now: StoreLimits, val next: StoreLimits?) {
    /** Whatever is sent keeps to both, since nobody says when the time has come. */
    val safe: StoreLimits = next?.let { now.with(it) } ?: now
}

/** What the cloud takes, and how old its list may be. */
data class CloudSettings(val rps: Double, val listLag: Duration)

/** Everything that the platform's file says, checked. */
data class Settings(
    val node: String,
    val zone: String,
    val apiAddr: InetSocketAddress,
    val internalAddr: InetSocketAddress,
    val members: List<Member>,
    val cloud: InetSocketAddress,
    val state: InetSocketAddress,
    val zones: List<String>,
    val clockBound: Duration,
    val teams: List<Team>,
    val objectives: List<Objective>,
    val workers: WorkerSettings,
    val storeLimits: StoreSettings,
    val cloudLimits: CloudSettings,
    val maxSockets: Int,
)

/** The settings can't be used; [problems] names each fault by its path. */
class SettingsError(val problems: List<String>) : Exception(problems.joinToString("; "))

/** Reads the platform's TOML file. All faults are gathered, so that an operator sees them at once. */
class SettingsReader {
    private val problems = mutableListOf<String>()

    fun read(file: File): Settings {
        val root =
            try {
                TomlTree.read(file)
            } catch (e: java.io.IOException) {
                throw SettingsError(listOf("${file.path}: ${e.message}"))
            }
        val settings = parse(root)
        if (problems.isNotEmpty()) throw SettingsError(problems)
        return settings
    }

    private fun parse(root: JsonNode): Settings {
        val s = "settings"
        val params = root.path(s)
        val w = params.path("workers")
        val st = params.path("state")
        val cl = params.path("cloud")
        return Settings(
            node = text(root, "host_name", ""),
            zone = text(root, "location", ""),
            apiAddr = addr(root, "api_addr", ""),
            internalAddr = addr(root, "internal_addr", ""),
            members =
                root.path("members").mapIndexed { i, m ->
                    Member(text(m, "host_name", "members[$i]."), text(m, "location", "members[$i]."), addr(m, "addr", "members[$i]."))
                },
            cloud = addr(root.path("outside"), "cloud", "outside."),
            state = addr(root.path("outside"), "state", "outside."),
            zones =
                params.path("zones").map { it.asText() }.also {
                    if (it.isEmpty()) {
                        problems +=
                            "$s.zones: at least one zone is needed"
                    }
                },
            clockBound = (params.path("skew_ms").asDouble(0.0)).milliseconds,
            teams = params.path("teams").mapIndexed { i, t -> team(t, "$s.teams[$i].") },
            objectives =
                params.path("objectives").mapIndexed { i, o ->
                    Objective(
                        text(o, "kind", "$s.objectives[$i]."),
                        o.path("class").textValue(),
                        if (o.path("within_s").isNumber) o.path("within_s").asDouble().seconds else null,
                        o.path("share").asDouble(0.0),
                    )
                },
            workers =
                WorkerSettings(
                    seconds(w, "report_s", "$s.workers."),
                    seconds(w, "lease_s", "$s.workers."),
                    seconds(w, "gang_wait_s", "$s.workers."),
                    seconds(w, "gang_peer_s", "$s.workers."),
                    seconds(w, "cancel_s", "$s.workers."),
                ),
            storeLimits = storeSettings(st, "$s.state."),
            cloudLimits = CloudSettings(number(cl, "rps", "$s.cloud."), seconds(cl, "list_lag_s", "$s.cloud.")),
            maxSockets = params.path("quota").path("fd_limit").asInt(1024),
        )
    }

    private fun storeSettings(st: JsonNode, path: String): StoreSettings {
        val now = storeLimits(st, path, null)
        val next = st.path("next")
        if (next.isMissingNode || next.isNull) return StoreSettings(now, null)
        if (!next.isObject) problems += "${path}next: a table is needed"
        return StoreSettings(now, storeLimits(next, "${path}next.", now))
    }

    /** What [next] limits leave out stays as it is. */
    private fun storeLimits(n: JsonNode, path: String, now: StoreLimits?): StoreLimits {
        fun limit(name: String, min: Double, otherwise: Double?) =
            if (otherwise != null &&
                n.path(name).isMissingNode
            ) {
                otherwise
            } else {
                number(n, name, path, min)
            }
        return StoreLimits(
            limit("rps", Double.MIN_VALUE, now?.rps),
            limit("write_rps", Double.MIN_VALUE, now?.writeRps),
            (limit("value_kb", MIN_VALUE_KB, now?.let { it.valueBytes / 1024.0 }) * 1024).toInt(),
            limit("txn_ops", MIN_TXN_OPS, now?.txnOps?.toDouble()).toInt(),
        )
    }

    private fun team(t: JsonNode, path: String): Team {
        fun max(name: String) = number(t, name, path, min = 0.0).takeIf { it > 0.0 }
        return Team(text(t, "name", path), number(t, "cpus", path, 0.0), number(t, "gpus", path, 0.0), max("cpus_max"), max("gpus_max"))
    }

    private fun text(n: JsonNode, name: String, path: String): String {
        val v = n.path(name)
        if (!v.isTextual || v.asText().isEmpty()) problems += "$path$name: a text is needed"
        return v.asText("")
    }

    private fun number(n: JsonNode, name: String, path: String, min: Double = Double.MIN_VALUE): Double {
        val v = n.path(name)
        val d = v.asDouble(Double.NaN)
        if (!v.isNumber || !d.isFinite() || d < min) {
            problems +=
                "$path$name: a number ${if (min == Double.MIN_VALUE) "above 0" else "of $min or more"} is needed"
            return 1.0
        }
        return d
    }

    private fun seconds(n: JsonNode, name: String, path: String): Duration = number(n, name, path).seconds

    private companion object {
        /** One job's change can take as many. */
        const val MIN_TXN_OPS = 3.0

        /** What is stored in parts needs as much for one of them. */
        const val MIN_VALUE_KB = 1.0
    }

    private fun addr(n: JsonNode, name: String, path: String): InetSocketAddress {
        val v = n.path(name).asText("")
        val port = v.substringAfterLast(':', "").toIntOrNull()
        val host = v.substringBeforeLast(':', "")
        if (port == null || port !in 0..65535 || host.isEmpty()) {
            problems += "$path$name: an address of the form 10.0.0.1:8080 is needed"
            return InetSocketAddress.createUnresolved("invalid", 0)
        }
        return InetSocketAddress(host, port)
    }
}
