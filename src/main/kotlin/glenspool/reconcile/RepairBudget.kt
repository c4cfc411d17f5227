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
 * Limits the rate of a recovery's orders by a token bucket for each kind of order, whose rate depends on the fleet's
 * size. [clock] returns the term's monotonic time.
 */
class RepairBudget(private val rates: RepairRates, clock: () -> Duration) {
    private val meter =
        object : TimeMeter {
            override fun currentTimeNanos(): Long = clock().inWholeNanoseconds

            override fun isWallClockBased(): Boolean = false
        }

    /** The rate limits in orders per second; kinds that are missing here are not limited. */
    var perSecond: Map<OrderKind, Long> = limitsFor(fleet = 1)
        private set
    private val buckets = perSecond.mapValues { (_, rate) -> bucket(rate) }

    /** Adapts the limits to the fleet's size. Orders that were already counted remain counted. */
    fun resize(fleet: Int) {
        val before = perSecond
        perSecond = limitsFor(fleet)
        for ((kind, rate) in perSecond) {
            if (before[kind] == rate) continue
            val configuration = BucketConfiguration.builder().addLimit(limit(rate)).build()
            buckets.getValue(kind).replaceConfiguration(configuration, TokensInheritanceStrategy.AS_IS)
        }
    }

    /** Counts another order of the kind and returns true, or returns false if the limit does not allow it. */
    fun tryConsume(kind: OrderKind): Boolean = buckets[kind]?.tryConsume(1) ?: true

    private fun limitsFor(fleet: Int): Map<OrderKind, Long> =
        mapOf(
            OrderKind.START to perSecond(rates.starts, fleet),
            OrderKind.STOP to perSecond(rates.stops, fleet),
            OrderKind.SCALE_OUT to perSecond(rates.rentals, fleet),
            OrderKind.DELETION to perSecond(rates.deletions, fleet),
        )

    private fun perSecond(rate: Double, fleet: Int): Long = ceil(rate * fleet).toLong().coerceAtLeast(1)

    private fun bucket(rate: Long): Bucket =
        Bucket
            .builder()
            .addLimit(limit(rate))
            .withCustomTimePrecision(meter)
            .build()

    private fun limit(rate: Long): Bandwidth =
        Bandwidth
            .builder()
            .capacity(rate)
            .refillGreedy(rate, 1.seconds.toJavaDuration())
            .build()
}
