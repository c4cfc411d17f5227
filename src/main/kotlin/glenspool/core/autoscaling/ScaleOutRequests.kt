package glenspool.core.autoscaling

import glenspool.core.ProposedOrder
import glenspool.core.ScaleOut
import glenspool.core.SchedulingContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Requests for machines that the cloud has not answered yet, and what it refused. */
class ScaleOutRequests(private val context: SchedulingContext) {
    private val open = LinkedHashMap<String, ScaleOut>()
    private val retryAt = HashMap<String, Duration>()
    private val refusedUntil = HashMap<MachineOffer, Duration>()
    private var lastNumber = 0

    /** Requests that have not been answered. */
    val unanswered: Collection<ScaleOut> get() = open.values

    /** The cloud has answered with [rented] machines. */
    fun answered(request: ScaleOut, rented: Int) {
        open.remove(request.request)
        retryAt.remove(request.request)
        if (rented < request.count) {
            val offer = MachineOffer(request.type, request.zone, request.spot)
            refusedUntil[offer] = context.now + context.config.tuning.refusalPause
        }
    }

    /** There was no answer: the request is repeated. */
    fun noAnswer(request: ScaleOut) {
        retryAt[request.request] = context.now + RETRY
    }

    /** Repeats requests; under the same name the cloud rents nothing twice. */
    fun retry() {
        for ((name, time) in retryAt.entries.toList()) {
            if (context.now < time) continue
            retryAt.remove(name)
            open[name]?.let(context::act)
        }
    }

    /** Whether such machines were refused a short while ago. */
    fun isRefused(offer: MachineOffer): Boolean = refusedUntil[offer].let { it != null && it > context.now }

    /** Requests the machines that the plan wants. */
    fun request(plan: PackingPlan) {
        for ((offer, machines) in plan.machinesToRent.groupBy { it.offer }) {
            if (open.size >= MAX_OPEN) return
            request(offer, machines)
        }
    }

    private fun request(offer: MachineOffer, machines: List<PlannedMachine>) {
        val causes =
            machines
                .take(MAX_MACHINES)
                .mapNotNull { it.cause }
                .takeWhile { context.hooks.gate.admits(ProposedOrder(it)) }
                .groupingBy { it }
                .eachCount()
        if (causes.isEmpty()) return
        // The token is this term's alone, so nobody ever uses the name again.
        val name = "r-${context.token}-${++lastNumber}"
        val request = ScaleOut(name, offer.type, offer.zone, offer.spot, causes)
        open[name] = request
        causes.forEach { (cause, count) -> context.orderCounts.add(cause, count) }
        context.act(request)
    }

    private companion object {
        /** Machines in one request, and requests at the same time. */
        const val MAX_MACHINES = 50
        const val MAX_OPEN = 12
        val RETRY = 2.seconds
    }
}
