package glenspool.config

import glenspool.reconcile.RecoveryPolicy
import glenspool.reconcile.RepairRates
import java.io.File

/** Reads the policy file for recovery after a cold start. */
class RecoverySettingsReader {
    /** @throws SettingsError if the file can't be read or contains an invalid value */
    fun read(file: File): RecoveryPolicy = PolicyTable.read(file, ::policy)

    private fun policy(root: PolicyTable): RecoveryPolicy {
        val default = RecoveryPolicy()
        root.reportUnknownNames(
            "gather_share", "gather_lease_share", "repair_lease_share", "breaker_share", "breaker_wait_s", "rates",
        )
        return RecoveryPolicy(
            gatherShare = root.number("gather_share", default.gatherShare, MIN_SHARE, 1.0),
            gatherLeaseShare = root.number("gather_lease_share", default.gatherLeaseShare, MIN_SHARE, MAX_LEASES),
            repairLeaseShare = root.number("repair_lease_share", default.repairLeaseShare, MIN_SHARE, MAX_LEASES),
            breakerShare = root.number("breaker_share", default.breakerShare, 0.0, 1.0),
            breakerWait = root.duration("breaker_wait_s", default.breakerWait),
            rates = root.table("rates")?.let { rates(it, default.rates) } ?: default.rates,
        )
    }

    private fun rates(table: PolicyTable, default: RepairRates): RepairRates {
        table.reportUnknownNames("starts", "stops", "rentals", "deletions")
        return RepairRates(
            starts = table.number("starts", default.starts, MIN_RATE, MAX_RATE),
            stops = table.number("stops", default.stops, MIN_RATE, MAX_RATE),
            rentals = table.number("rentals", default.rentals, MIN_RATE, MAX_RATE),
            deletions = table.number("deletions", default.deletions, MIN_RATE, MAX_RATE),
        )
    }

    private companion object {
        const val MIN_SHARE = 0.01

        /** Longest recovery phase in leases. With more, a recovery without progress would practically never end. */
        const val MAX_LEASES = 100.0

        /** Commands per second and machine. With less than one in a thousand seconds, hardly anything is repaired. */
        const val MIN_RATE = 0.001
        const val MAX_RATE = 100.0
    }
}
