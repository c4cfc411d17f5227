package glenspool.wire

import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.MachineType
import glenspool.core.model.Resources

private val stages =
    mapOf("booting" to MachineStage.BOOTING, "running" to MachineStage.RUNNING, "failed" to MachineStage.FAILED)

/**
 * The messages of the cloud's API.
 *
 * | protocol | here |
 * | --- | --- |
 * | `frame` | machine type |
 * | `hall` | zone |
 * | `spindle` | machine; its `uid` is the machine's id |
 * | `loaners` | whether a machine is a spot machine |
 * | `hire` | the id of a scale-out request, which makes it idempotent |
 * | `local_gb` | disk for images |
 * | `held_s` | age of a machine |
 */
object CloudWire {
    /** Decodes the machine types that the cloud offers. Absent optional fields get the protocol's defaults. */
    fun decodeTypes(fields: Fields): List<MachineType> = fields.maps("frames").map(::decodeType)

    private fun decodeType(fields: Fields) =
        MachineType(
            name = fields.text("name"),
            capacity = fields.resources(),
            cacheGb = fields.amountOrNull("local_gb") ?: 0.0,
            fetchGbPerS = fields.amountOrNull("fetch_gb_per_s") ?: 1.0,
            price = fields.amount("price"),
            spotPrice = fields.amountOrNull("spot_price") ?: fields.amount("price"),
            bootTime = fields.duration("startup_s"),
            zones = fields.textsOrNull("halls") ?: emptyList(),
        )

    /** The request to rent [count] machines. Sending it again with the same [requestId] rents no more machines. */
    fun rentalRequest(requestId: String, type: String, zone: String, spot: Boolean, count: Int): Fields =
        linkedMapOf(
            "hire" to requestId,
            "frame" to type,
            "hall" to zone,
            "loaners" to spot,
            "number" to count,
        )

    /** Decodes the ids of the machines that were rented. */
    fun decodeMachineIds(fields: Fields): List<String> = fields.textsOrNull("spindles") ?: emptyList()

    /** The request to delete the machines with these [ids]. */
    fun deletionRequest(ids: List<String>): Fields = mapOf("spindles" to ids)

    /** Decodes one page of the cloud's list of machines. */
    fun decodeMachines(fields: Fields): List<ListedMachine> = fields.maps("spindles").map(::decodeMachine)

    private fun decodeMachine(fields: Fields) =
        ListedMachine(
            id = fields.text("uid"),
            addr = fields.textOrNull("addr") ?: "",
            type = fields.text("frame"),
            zone = fields.text("hall"),
            spot = fields.flag("loaners"),
            stage = stages.decodeWord("stage", fields.text("stage")),
            age = fields.duration("held_s"),
        )

    /** Whether further pages follow this one. */
    fun hasNextPage(fields: Fields): Boolean = fields.flagOr("has_next", false)

    /** Whether the cloud rejected a rental because it has no such machine available. */
    fun isOutOfCapacity(fields: Fields): Boolean = fields["error"] == "no capacity"
}

/** The resources of a machine type, or those that a job asks for. */
internal fun Fields.resources() = Resources(amount("cpus"), amount("accelerators"), amount("memory_gb"))
