package glenspool.reconcile

import glenspool.core.OrderKind
import io.github.bucket4j.Bandwidth
import io.github.bucket4j.Bucket
import io.github.bucket4j.BucketConfiguration
import io.github.bucket4j.TimeMeter
import io.github.bucket4j.TokensInheritanceStrategy
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/**
 * Token buckets for the orders of a recovery: so many a second of each kind, by the fleet's size. [clock]: the steady
 * time.
 */
class RepairBudget(private val rates: RepairRates, clock: () -> Duration) {
    private val meter =
        object : TimeMeter {
            override fun currentTimeNanos(): Long = clock().inWholeNanoseconds

            override fun isWallClockBased(): Boolean = false
        }

    /** Orders a second, by kind; permissions to forget are not limited. */
    var perSecond: Map<OrderKind, Long> = rateFor(1)
        private set
    private val buckets =
        perSecond.mapValues { (_, rate) ->
            Bucket
                .builder()
                .addLimit(limit(rate))
                .withCustomTimePrecision(meter)
                .build()
        }

    /** The fleet's size is known better now. What was spent stays spent. */
    fun resize(fleet: Int) {
        val before = perSecond
        perSecond = rateFor(fleet)
        for ((kind, rate) in perSecond) {
            if (before[kind] == rate) continue
            val configuration = BucketConfiguration.builder().addLimit(limit(rate)).build()
            buckets.getValue(kind).replaceConfiguration(configuration, TokensInheritanceStrategy.AS_IS)
        }
    }

    /** Whether one more order of the kind may be given now; it is counted if so. */
    fun take(kind: OrderKind): Boolean = buckets[kind]?.tryConsume(1) ?: true

    private fun rateFor(fleet: Int): Map<OrderKind, Long> =
        mapOf(
            OrderKind.START to perSecond(rates.starts, fleet),
            OrderKind.STOP to perSecond(rates.stops, fleet),
            OrderKind.SCALE_OUT to perSecond(rates.rentals, fleet),
            OrderKind.DELETION to perSecond(rates.deletions, fleet),
        )

    private fun perSecond(rate: Double, fleet: Int): Long = ceil(rate * fleet).toLong().coerceAtLeast(1)

    private fun limit(rate: Long): Bandwidth =
        Bandwidth
            .builder()
            .capacity(rate)
            .refillGreedy(rate, 1.seconds.toJavaDuration())
            .build()
}
