package glenspool.config

import glenspool.core.model.Objective
import glenspool.core.model.Team
import java.io.File

/** Reads the platform's TOML file. Unknown names are ignored; all errors are reported together. */
class SettingsReader {
    private val problems = mutableListOf<String>()

    /** @throws SettingsError if the file can't be read or contains an invalid value */
    fun read(file: File): Settings {
        val settings = settings(RequiredTable(TomlTree.read(file), "", problems))
        if (problems.isNotEmpty()) throw SettingsError(problems)
        return settings
    }

    private fun settings(root: RequiredTable): Settings {
        val outside = root.table("outside")
        val parameters = root.table("settings")
        return Settings(
            node = root.text("host_name"),
            zone = root.text("location"),
            apiAddr = root.address("api_addr"),
            internalAddr = root.address("internal_addr"),
            members = root.tables("members").map(::member),
            cloudAddr = outside.address("cloud"),
            storeAddr = outside.address("state"),
            zones = zones(parameters),
            maxClockSkew = parameters.optionalMilliseconds("skew_ms"),
            teams = parameters.tables("teams").map(::team),
            objectives = parameters.tables("objectives").map(::objective),
            workers = workers(parameters.table("workers")),
            storeLimits = storeSettings(parameters.table("state")),
            cloudLimits = cloudSettings(parameters.table("cloud")),
            maxSockets = parameters.table("quota").optionalInt("fd_limit", DEFAULT_MAX_SOCKETS),
        )
    }

    private fun member(table: RequiredTable) =
        Member(table.text("host_name"), table.text("location"), table.address("addr"))

    private fun zones(parameters: RequiredTable): List<String> {
        val zones = parameters.optionalTexts("zones")
        if (zones.isEmpty()) parameters.report("zones", "at least one zone is needed")
        return zones
    }

    private fun team(table: RequiredTable) =
        Team(
            table.text("name"),
            table.number("cpus", 0.0),
            table.number("gpus", 0.0),
            upperBound(table, "cpus_max"),
            upperBound(table, "gpus_max"),
        )

    /** Returns null if the file contains 0, which means that there is no limit. */
    private fun upperBound(table: RequiredTable, name: String): Double? = table.number(name, 0.0).takeIf { it > 0.0 }

    private fun objective(table: RequiredTable) =
        Objective(
            table.text("kind"),
            table.optionalText("class"),
            table.optionalSeconds("within_s"),
            table.optionalNumber("share"),
        )

    private fun workers(table: RequiredTable) =
        WorkerSettings(
            heartbeatInterval = table.seconds("report_s"),
            lease = table.seconds("lease_s"),
            gangWait = table.seconds("gang_wait_s"),
            gangPeer = table.seconds("gang_peer_s"),
            cancellationDeadline = table.seconds("cancel_s"),
        )

    private fun cloudSettings(table: RequiredTable) = CloudSettings(table.number("rps"), table.seconds("list_lag_s"))

    private fun storeSettings(table: RequiredTable): StoreSettings {
        val current = storeLimits(table, null)
        if (table.isMissingOrNull("next")) return StoreSettings(current, null)
        if (!table.isTable("next")) table.report("next", "a table is needed")
        return StoreSettings(current, storeLimits(table.table("next"), current))
    }

    /** Reads the limits. Those missing in [table] are taken from [fallback]; without a fallback all are required. */
    private fun storeLimits(table: RequiredTable, fallback: StoreLimits?): StoreLimits {
        fun limit(name: String, min: Double, fallbackValue: Double?): Double =
            if (fallbackValue != null && table.isMissing(name)) fallbackValue else table.number(name, min)

        val fallbackKib = fallback?.let { it.valueBytes / BYTES_PER_KIB }
        return StoreLimits(
            rps = limit("rps", RequiredTable.ABOVE_ZERO, fallback?.rps),
            writeRps = limit("write_rps", RequiredTable.ABOVE_ZERO, fallback?.writeRps),
            valueBytes = (limit("value_kb", MIN_VALUE_KIB, fallbackKib) * BYTES_PER_KIB).toInt(),
            txnOps = limit("txn_ops", MIN_TXN_OPS, fallback?.txnOps?.toDouble()).toInt(),
        )
    }

    private companion object {
        const val BYTES_PER_KIB = 1024.0
        const val DEFAULT_MAX_SOCKETS = 1024

        /** A transaction that changes one job can need this number of operations. */
        const val MIN_TXN_OPS = 3.0

        /** One part of a value that is stored in several parts can have this size. */
        const val MIN_VALUE_KIB = 1.0
    }
}
