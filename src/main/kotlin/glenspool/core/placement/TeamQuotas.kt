package glenspool.core.placement

import glenspool.core.lifecycle.Job
import glenspool.core.model.Resources
import glenspool.core.model.Team

/** Resources that teams use of their quotas. A task counts from before its start is sent until it is proved gone. */
class TeamQuotas(teams: List<Team>) {
    private val teams = teams.associateBy { it.name }
    private val usage = HashMap<String, Resources>()

    /** Adds the resources of one task of the job to its team's usage, or subtracts them: [sign] is +1 or -1. */
    fun charge(job: Job, sign: Int) {
        usage.merge(job.spec.team, job.resourceRequest * sign) { used, change -> used + change }
    }

    private fun usageOf(team: Team): Resources = usage[team.name] ?: Resources.ZERO

    /** How many more tasks of the job the limits of its team allow. */
    fun remaining(job: Job): Int {
        val team = teams[job.spec.team] ?: return 0
        val used = usageOf(team)
        val request = job.resourceRequest
        return minOf(
            remaining(team.cpusMax, used.cpus, request.cpus),
            remaining(team.gpusMax, used.gpus, request.gpus),
        )
    }

    private fun remaining(limit: Double?, used: Double, requested: Double): Int {
        if (limit == null || requested <= 0.0) return Int.MAX_VALUE
        return ((limit - used + Resources.EPSILON) / requested).toInt().coerceAtLeast(0)
    }

    /** Whether the job's team stays within its guarantee with one more task of the job. */
    fun isWithinGuarantee(job: Job): Boolean {
        val team = teams[job.spec.team] ?: return false
        if (team.cpus <= 0.0 && team.gpus <= 0.0) return false
        val used = usageOf(team) + job.resourceRequest
        return isWithin(team.cpus, used.cpus) && isWithin(team.gpus, used.gpus)
    }

    /** A guarantee of zero means that there is none for this resource. */
    private fun isWithin(guarantee: Double, used: Double) = guarantee <= 0.0 || used <= guarantee + Resources.EPSILON
}
