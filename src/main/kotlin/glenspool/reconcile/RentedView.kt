package glenspool.reconcile

import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlin.time.Duration

/**
 * A machine as listed by the cloud.
 *
 * @property unlistedSince when the first list without the machine followed one that had it; null if the newest list has
 *   it. Absence from a list is not certain, because lists lag behind.
 */
data class RentedMachine(
    val id: String,
    val type: String,
    val zone: String,
    val stage: MachineStage,
    val unlistedSince: Duration?,
)

/**
 * The rented state: the machines that the cloud lists.
 *
 * @property firstReadAt when the first list of this term was received; null if none has been received
 */
data class RentedView(
    val machines: PersistentMap<String, RentedMachine> = persistentHashMapOf(),
    val firstReadAt: Duration? = null,
) {
    /** Returns the view after [list]. Entries that did not change remain the same objects. */
    fun with(list: List<ListedMachine>, at: Duration): RentedView {
        val listedIds = list.mapTo(HashSet(list.size * 2)) { it.id }
        val updated =
            machines.mutate { result ->
                for (machine in list) {
                    val entry = RentedMachine(machine.id, machine.type, machine.zone, machine.stage, null)
                    if (result[machine.id] != entry) result[machine.id] = entry
                }
                for (existing in machines.values) {
                    val isNewlyUnlisted = existing.unlistedSince == null && existing.id !in listedIds
                    if (isNewlyUnlisted) result[existing.id] = existing.copy(unlistedSince = at)
                }
            }
        return RentedView(updated, firstReadAt ?: at)
    }

    /** Returns the view without a machine that was deleted. */
    fun without(machine: String): RentedView = copy(machines = machines.remove(machine))
}
