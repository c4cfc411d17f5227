package glenspool.core.autoscaling

import glenspool.core.ProposedOrder
import glenspool.core.ScaleOut
import glenspool.core.SchedulingContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Scale-out requests that the cloud has not answered yet, and machine offers that it refused. */
class ScaleOutRequests(private val context: SchedulingContext) {
    private val open = LinkedHashMap<String, ScaleOut>()
    private val retryAt = HashMap<String, Duration>()
    private val refusedUntil = HashMap<MachineOffer, Duration>()
    private var lastRequestNumber = 0

    /** Requests that have not been answered. */
    val unanswered: Collection<ScaleOut> get() = open.values

    /** Called when the cloud has answered. If it rented fewer machines than requested, the offer counts as refused. */
    fun answered(request: ScaleOut, rented: Int) {
        open.remove(request.request)
        retryAt.remove(request.request)
        if (rented < request.count) {
            val offer = MachineOffer(request.type, request.zone, request.spot)
            refusedUntil[offer] = context.now + context.config.tuning.refusalRetryDelay
        }
    }

    /** Called when there was no response. The request is repeated after a retry delay. */
    fun notAnswered(request: ScaleOut) {
        retryAt[request.request] = context.now + RETRY_DELAY
    }

    /** Repeats requests that are due. The cloud rents machines only once for requests with the same name. */
    fun retry() {
        for ((name, time) in retryAt.entries.toList()) {
            if (context.now < time) continue
            retryAt.remove(name)
            open[name]?.let(context::addAction)
        }
    }

    /** Whether the cloud refused this offer recently. */
    fun isRefused(offer: MachineOffer): Boolean = refusedUntil[offer].let { it != null && it > context.now }

    /** Requests the machines that the plan contains as machines to rent. */
    fun request(plan: PackingPlan) {
        for ((offer, machines) in plan.machinesToRent.groupBy { it.offer }) {
            if (open.size >= MAX_OPEN_REQUESTS) return
            request(offer, machines, plan)
        }
    }

    private fun request(offer: MachineOffer, machines: List<PlannedMachine>, plan: PackingPlan) {
        val causes =
            machines
                .take(MAX_MACHINES_PER_REQUEST)
                .mapNotNull { it.cause }
                .takeWhile { context.hooks.gate.admits(ProposedOrder(it)) }
                .groupingBy { it }
                .eachCount()
        if (causes.isEmpty()) return
        // The fencing token belongs to this term alone, so no controller ever uses the name again.
        val name = "r-${context.token}-${++lastRequestNumber}"
        val request = ScaleOut(name, offer.type, offer.zone, offer.spot, causes)
        open[name] = request
        causes.forEach { (cause, count) -> context.orderCounts.add(cause, count) }
        context.addAction(request)
        logCauses(request, machines, plan)
    }

    /** Logs for which jobs the machines are requested, and which other capacity the plan expects. */
    private fun logCauses(request: ScaleOut, machines: List<PlannedMachine>, plan: PackingPlan) {
        val machinesByJob = machines.groupingBy { it.job }.eachCount()
        context.log(isImportant = true) {
            val causes = request.causes.entries.joinToString(",") { (cause, count) -> "${cause.label}:$count" }
            val jobs = machinesByJob.entries.take(MAX_LOGGED_JOBS).joinToString(",") { (job, count) -> "$job:$count" }
            "scale-out-planned request=${request.request} type=${request.type} zone=${request.zone} " +
                "spot=${request.spot} causes=$causes jobs=${machinesByJob.size} machines-by-job=$jobs " +
                "waiting-tasks=${plan.waitingTasks} upcoming-machines=${plan.upcomingCount}"
        }
    }

    private companion object {
        const val MAX_LOGGED_JOBS = 5
        const val MAX_MACHINES_PER_REQUEST = 50

        /** The number of requests at the same time. */
        const val MAX_OPEN_REQUESTS = 12
        val RETRY_DELAY = 2.seconds
    }
}
