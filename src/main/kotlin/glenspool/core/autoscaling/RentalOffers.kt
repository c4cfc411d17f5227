package glenspool.core.autoscaling

import glenspool.core.ScaleOutCause
import glenspool.core.SchedulingContext
import glenspool.core.cluster.ClusterState
import glenspool.core.model.JobSpec
import glenspool.core.model.MachineType

/** Selects which machine to rent for a task. */
internal class RentalOffers(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val requests: ScaleOutRequests,
) {
    private class PricedOffer(val offer: MachineOffer, val type: MachineType) {
        val price: Double get() = if (offer.spot) type.spotPrice else type.price
    }

    /**
     * Returns the cheapest machine for the task among the offers that the cloud has not refused recently. Of equally
     * cheap machines, one in the zone with the fewest machines is chosen.
     */
    fun cheapestMachineFor(
        cursor: PackingCursor,
        plan: PackingPlan,
        cause: ScaleOutCause,
        onlySpot: Boolean = false,
    ): PlannedMachine? {
        val request = cursor.spec.resourceRequest
        val best =
            offersFor(cursor, onlySpot).minWithOrNull(
                compareBy<PricedOffer> { it.price / maxOf(1, request.countIn(it.type.capacity)) }
                    .thenBy { plan.machinesIn(it.offer.zone) },
            ) ?: return null
        return PlannedMachine(best.offer, best.type.capacity, cause, cursor.spec.id)
    }

    private fun offersFor(cursor: PackingCursor, onlySpot: Boolean): List<PricedOffer> {
        val spec = cursor.spec
        val spotOptions =
            when {
                !spec.spot -> if (onlySpot) emptyList() else listOf(false)
                onlySpot -> listOf(true)
                else -> listOf(true, false)
            }
        val offers = ArrayList<PricedOffer>()
        for (type in cluster.types.values) {
            if (!isTypeFor(spec, type)) continue
            for (zone in type.zones.ifEmpty { context.config.zones }) {
                if (spec.zone != null && spec.zone != zone || !cursor.admits(zone)) continue
                spotOptions.mapTo(offers) { spot -> PricedOffer(MachineOffer(type.name, zone, spot), type) }
            }
        }
        return offers.filterNot { requests.isRefused(it.offer) }
    }

    private fun isTypeFor(spec: JobSpec, type: MachineType): Boolean {
        val isAllowedType = spec.types == null || type.name in spec.types
        return isAllowedType && spec.resourceRequest.fitsIn(type.capacity)
    }
}
