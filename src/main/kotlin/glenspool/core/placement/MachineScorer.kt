package glenspool.core.placement

import glenspool.core.cluster.Machine
import glenspool.core.lifecycle.Job
import glenspool.core.model.JobKind
import java.util.PriorityQueue

/** How well a machine suits a job; the lower the score, the better. */
class MachineScorer(private val view: PlacementView) {
    /** The fastest type counts most, then the image, then price and spread. */
    fun score(job: Job, machine: Machine): Int {
        view.workCounters.placementScores++
        var score = typeScore(job, machine) + imageScore(job, machine)
        score += view.costPenalty(job, machine) * DEAR_MACHINE
        score += spreadScore(job, machine)
        if (machine.health.slowness > SLOW) score += SLOW_MACHINE
        return score
    }

    private fun typeScore(job: Job, machine: Machine): Int {
        val fastest = view.fastestType(job.spec.jobClass)
        return if (fastest == null || machine.type == fastest) 0 else SLOWER_TYPE
    }

    private fun imageScore(job: Job, machine: Machine): Int =
        when {
            machine.hasImage(job.spec.image) -> 0
            machine.willHaveImage(job.spec.image) -> IMAGE_ON_ITS_WAY
            else -> NO_IMAGE
        }

    private fun spreadScore(job: Job, machine: Machine): Int {
        val isService = job.spec.kind == JobKind.SERVICE
        val ownReplicas = if (isService) machine.placements.values.count { it.job === job } else 0
        return ownReplicas +
            when {
                // Spread out, such services leave resources and their images on many machines for those to come.
                isService && view.requiresCachedImage(job) -> machine.workload.serviceReplicas * OTHER_REPLICA
                // An empty machine is worth most whole: to a gang, or returned.
                machine.workload.taskCount == 0 || machine.isCordoned -> EMPTY_MACHINE
                else -> 0
            }
    }

    private companion object {
        const val SLOWER_TYPE = 1000
        const val SLOW_MACHINE = 400
        const val NO_IMAGE = 100
        const val DEAR_MACHINE = 60
        const val IMAGE_ON_ITS_WAY = 50
        const val EMPTY_MACHINE = 20
        const val OTHER_REPLICA = 5

        /** Tasks run so many times as long as usual on a slow machine. */
        const val SLOW = 1.5
    }
}

/**
 * The scores of machines for one job, best first. A machine that changed is entered anew and its old entries are passed
 * over, so that a draw need not look at every machine. [isUsable]: whether a machine may take a task of the job now.
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

    /** The machine suits the job differently now. */
    fun update(machine: Machine) {
        if (isUsable(machine)) queue.add(Entry(scorer.score(job, machine), machine))
    }

    /** The best score of a usable machine. */
    fun bestScore(): Int {
        while (true) {
            val top = queue.peek() ?: return Int.MAX_VALUE
            if (isUsable(top.machine) && scorer.score(job, top.machine) == top.score) return top.score
            queue.poll()
        }
    }
}
