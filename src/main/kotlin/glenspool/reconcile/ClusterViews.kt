package glenspool.reconcile

/** The desired, observed and rented state at one point in time. Immutable, so it may be read by any thread. */
data class ClusterViews(
    val desired: DesiredView = DesiredView(),
    val observed: ObservedView = ObservedView(),
    val rented: RentedView = RentedView(),
) {
    /** All machines that occur in any of the views. */
    fun machines(): Set<String> = desired.tasksByMachine.keys + observed.machines.keys + rented.machines.keys
}
