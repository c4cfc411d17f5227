package glenspool.config

import glenspool.core.Tuning
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A parameter of [Tuning] that the operators' script may set, with its name in the script and its range. */
internal class TuningParameter private constructor(
    val name: String,
    val range: ClosedFloatingPointRange<Double>,
    val read: (Tuning) -> Double,
    val change: (Tuning, Double) -> Tuning,
) {
    companion object {
        /** Parameters whose names end in `_s` are in seconds. */
        val ALL: List<TuningParameter> =
            listOf(
                number("resource_factor", 0.01..100.0, { it.resourceFactor }) { copy(resourceFactor = it) },
                duration("round_period_s", 0.1..60.0, { it.roundPeriod }) { copy(roundPeriod = it) },
                duration("gang_wait_bound_s", 0.0..3600.0, { it.gangWaitBound }) { copy(gangWaitBound = it) },
                duration("wait_bound_s", 1.0..3600.0, { it.waitBound }) { copy(waitBound = it) },
                duration("idle_return_s", 0.0..3600.0, { it.idleReturnDelay }) { copy(idleReturnDelay = it) },
                number("silence_share", 0.1..0.9, { it.silenceShare }) { copy(silenceShare = it) },
                number("headroom", 0.0..10.0, { it.headroom }) { copy(headroom = it) },
                number("boot_patience", 1.0..20.0, { it.bootTimeoutFactor }) { copy(bootTimeoutFactor = it) },
                duration("refusal_pause_s", 1.0..600.0, { it.refusalRetryDelay }) { copy(refusalRetryDelay = it) },
            )

        private fun number(
            name: String,
            range: ClosedFloatingPointRange<Double>,
            read: (Tuning) -> Double,
            change: Tuning.(Double) -> Tuning,
        ) = TuningParameter(name, range, read, change)

        private fun duration(
            name: String,
            rangeSeconds: ClosedFloatingPointRange<Double>,
            read: (Tuning) -> Duration,
            change: Tuning.(Duration) -> Tuning,
        ) = TuningParameter(
            name,
            rangeSeconds,
            { read(it).toDouble(DurationUnit.SECONDS) },
            { tuning, value -> tuning.change(value.seconds) },
        )
    }
}
