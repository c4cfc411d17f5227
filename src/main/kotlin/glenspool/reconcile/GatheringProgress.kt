package glenspool.reconcile

import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage

/** How far the gathering is: machines that should be heard, and those that were, by zone and type. */
data class GatheringProgress(val groups: List<Group>) {
    data class Group(val zone: String, val type: String, val expected: Int, val heard: Int) {
        fun reaches(share: Double) = heard >= expected * share
    }

    val expected: Int get() = groups.sumOf { it.expected }
    val heard: Int get() = groups.sumOf { it.heard }

    /** The groups of which too little was heard. */
    fun lacking(share: Double): List<Group> = groups.filterNot { it.reaches(share) }

    companion object {
        /** [listed]: the cloud's newest list. [heard]: machines whose workers have shown this leader's token. */
        fun of(listed: List<ListedMachine>, heard: Set<String>): GatheringProgress {
            val groups = listed.filter { it.stage == MachineStage.RUNNING }.groupBy { Pair(it.zone, it.type) }
            return GatheringProgress(
                groups.map { (place, machines) ->
                    Group(
                        place.first, place.second, machines.size,
                        machines.count {
                            it.id in
                                heard
                        },
                    )
                },
            )
        }
    }
}
