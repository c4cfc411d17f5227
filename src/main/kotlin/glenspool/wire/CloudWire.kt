package glenspool.wire

import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.MachineType
import glenspool.core.model.Resources

private val stages =
    mapOf(
        "booting" to MachineStage.BOOTING, "running" to MachineStage.RUNNING,
        "failed" to MachineStage.FAILED,
    )

/** The cloud's messages. */
object CloudWire {
    fun decodeTypes(m: Fields): List<MachineType> =
        m.maps("frames").map { t ->
            MachineType(
                name = t.text("name"),
                capacity = Resources(t.amount("cpus"), t.amount("accelerators"), t.amount("memory_gb")),
                cacheGb = t.amountOrNull("local_gb") ?: 0.0,
                fetchGbPerS = t.amountOrNull("fetch_gb_per_s") ?: 1.0,
                price = t.amount("price"),
                spotPrice = t.amountOrNull("spot_price") ?: t.amount("price"),
                boot = t.duration("startup_s"),
                zones = t.textsOrNull("halls") ?: emptyList(),
            )
        }

    fun rent(request: String, type: String, zone: String, spot: Boolean, count: Int): Fields = linkedMapOf("hire" to request, "frame" to type, "hall" to zone, "loaners" to spot, "number" to count)

    fun names(m: Fields): List<String> = m.textsOrNull("spindles") ?: emptyList()

    fun delete(ids: List<String>): Fields = mapOf("spindles" to ids)

    fun decodeMachines(m: Fields): List<ListedMachine> =
        m.maps("spindles").map { x ->
            ListedMachine(
                id = x.text("uid"),
                addr = x.textOrNull("addr") ?: "",
                type = x.text("frame"),
                zone = x.text("hall"),
                spot = x.flag("loaners"),
                stage = stages.pick("stage", x.text("stage")),
                age = x.duration("held_s"),
            )
        }

    fun more(m: Fields): Boolean = m.flagOr("has_next", false)
}
