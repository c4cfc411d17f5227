package glenspool.wire

import glenspool.reconcile.RecoveryPhase
import glenspool.reconcile.RecoveryRecord
import kotlin.time.Duration.Companion.milliseconds

/** The stored form of the recovery record. `started` is in milliseconds since the epoch. */
object RecoveryWire {
    private val phases = RecoveryPhase.entries.associateBy { it.name.lowercase() }

    fun encode(record: RecoveryRecord): Fields =
        linkedMapOf(
            "token" to record.token,
            "phase" to record.phase.name.lowercase(),
            "started" to record.startedAt.inWholeMilliseconds,
            "paused" to record.isPaused,
            "approved" to record.isApproved,
        )

    fun decode(fields: Fields) =
        RecoveryRecord(
            token = fields.count("token"),
            phase = phases.decodeWord("phase", fields.text("phase")),
            startedAt = fields.count("started").milliseconds,
            isPaused = fields.flag("paused"),
            isApproved = fields.flag("approved"),
        )
}
