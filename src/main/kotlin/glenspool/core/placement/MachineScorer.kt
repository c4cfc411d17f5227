package glenspool.core.placement

import glenspool.core.cluster.Machine
import glenspool.core.lifecycle.Job
import glenspool.core.model.JobKind
import java.util.PriorityQueue

/** Scores how well a machine suits a job; a lower score is better. */
class MachineScorer(private val view: PlacementView) {
    /** The machine type has the largest weight, then the machine's slowness, the image, the cost and the spread. */
    fun score(job: Job, machine: Machine): Int {
        view.workCounters.placementScores++
        var score = typeScore(job, machine) + imageScore(job, machine)
        score += view.costPenalty(job, machine) * COST_PENALTY_WEIGHT
        score += spreadScore(job, machine)
        if (machine.health.slowness > SLOWNESS_THRESHOLD) score += SLOW_MACHINE_PENALTY
        return score
    }

    private fun typeScore(job: Job, machine: Machine): Int {
        val fastest = view.fastestType(job.spec.jobClass)
        return if (fastest == null || machine.type == fastest) 0 else SLOWER_TYPE_PENALTY
    }

    private fun imageScore(job: Job, machine: Machine): Int =
        when {
            machine.hasImage(job.spec.image) -> 0
            machine.willHaveImage(job.spec.image) -> IMAGE_FETCHING_PENALTY
            else -> NO_IMAGE_PENALTY
        }

    private fun spreadScore(job: Job, machine: Machine): Int {
        val isService = job.spec.kind == JobKind.SERVICE
        val ownReplicas = if (isService) machine.placements.values.count { it.job === job } else 0
        return ownReplicas +
            when {
                // Spreading such services leaves free resources on many machines that have the image in their cache,
                // for services that arrive later.
                isService && view.requiresCachedImage(job) -> machine.workload.serviceReplicas * OTHER_REPLICA_PENALTY
                // Machines that are empty, or cordoned in order to become empty, are avoided: an empty machine is worth
                // most to a gang, or when it is returned to the cloud.
                machine.workload.taskCount == 0 || machine.isCordoned -> EMPTY_MACHINE_PENALTY
                else -> 0
            }
    }

    private companion object {
        const val SLOWER_TYPE_PENALTY = 1000
        const val SLOW_MACHINE_PENALTY = 400
        const val NO_IMAGE_PENALTY = 100
        const val COST_PENALTY_WEIGHT = 60
        const val IMAGE_FETCHING_PENALTY = 50
        const val EMPTY_MACHINE_PENALTY = 20
        const val OTHER_REPLICA_PENALTY = 5

        /** A machine is slow if its tasks run more than this many times as long as usual. */
        const val SLOWNESS_THRESHOLD = 1.5
    }
}

/**
 * A priority queue with the scores of machines for one job, best first. A changed machine is added again, and entries
 * with an outdated score are discarded when they reach the head, so that finding the best score does not require
 * scoring every machine again. [isUsable] returns whether a machine may take a task of the job now.
 */
class MachineScores(
    private val job: Job,
    private val scorer: MachineScorer,
    machines: Collection<Machine>,
    private val isUsable: (Machine) -> Boolean,
) {
    private class Entry(val score: Int, val machine: Machine)

    private val queue = PriorityQueue<Entry> { first, second -> first.score.compareTo(second.score) }

    init {
        machines.forEach(::update)
    }

    /** Adds the current score of a machine after a change that may have affected it. */
    fun update(machine: Machine) {
        if (isUsable(machine)) queue.add(Entry(scorer.score(job, machine), machine))
    }

    /** Returns the best score of a usable machine, or [Int.MAX_VALUE] if there is none. */
    fun bestScore(): Int {
        while (true) {
            val top = queue.peek() ?: return Int.MAX_VALUE
            if (isUsable(top.machine) && scorer.score(job, top.machine) == top.score) return top.score
            queue.poll()
        }
    }
}
