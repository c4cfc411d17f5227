package glenspool.reconcile

import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage

/** How many of the machines that should report have reported in this term, by zone and machine type. */
data class GatheringProgress(val groups: List<Group>) {
    /**
     * The machines of one type in one zone.
     *
     * @property expected the number of running machines that the cloud lists
     * @property reported how many of them have reported
     */
    data class Group(val zone: String, val type: String, val expected: Int, val reported: Int) {
        /** Whether at least [share] of the expected machines have reported. */
        fun reaches(share: Double) = reported >= expected * share
    }

    private data class GroupKey(val zone: String, val type: String)

    val expected: Int get() = groups.sumOf { it.expected }
    val reported: Int get() = groups.sumOf { it.reported }

    /** Returns the groups of which less than [share] has reported. */
    fun incompleteGroups(share: Double): List<Group> = groups.filterNot { it.reaches(share) }

    companion object {
        val NONE = GatheringProgress(emptyList())

        /**
         * @param listed the cloud's newest list of machines
         * @param reported machines whose workers have received this leader's fencing token
         */
        fun of(listed: List<ListedMachine>, reported: Set<String>): GatheringProgress {
            val running = listed.filter { it.stage == MachineStage.RUNNING }
            val groups = running.groupBy { GroupKey(it.zone, it.type) }
            return GatheringProgress(
                groups.map { (key, machines) ->
                    Group(key.zone, key.type, machines.size, machines.count { it.id in reported })
                },
            )
        }
    }
}
