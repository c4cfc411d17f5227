package glenspool.api

import glenspool.core.model.JobEnd
import glenspool.core.model.JobKind
import glenspool.state.Keys
import glenspool.state.LiveKeys
import glenspool.state.StoredJob
import glenspool.wire.RecordWire

/**
 * How a job stands that waits for others, worked out from the records when somebody asks. Nobody has to have stored
 * that it is cut off, so the answer holds at every node as soon as the cancellation does, whoever leads or does not.
 * It can never be taken back: a cancelled job is never done, so what needs it is never released.
 */
class Awaited(private val live: LiveKeys, private val stored: StoredJob, private val ends: Ends) {
    sealed interface Verdict

    /** [open]: those of the jobs named that are not done. */
    data class Waits(val open: List<String>) : Verdict

    /** [by]: the cancelled job. */
    data class Cut(val by: String) : Verdict

    data object CantTell : Verdict

    /**
     * The caller has brought the copy up to date. All live jobs that are needed are looked at, however long the chain
     * is.
     */
    fun judge(needs: List<String>): Verdict {
        val ended = ArrayList<String>()
        val open = ArrayList<String>()
        val cut = live.atOnce { follow(needs, ended, open) }
        if (cut != null) return Cut(cut)
        for (id in ended) {
            // It was accepted before the job that names it, and is not live: its final state is there.
            val end = (ends.read(id) as? Ends.Ended ?: return CantTell).end
            if (end == JobEnd.CANCELLED) return Cut(id)
        }
        return Waits(open)
    }

    private fun follow(needs: List<String>, ended: MutableList<String>, open: MutableList<String>): String? {
        val seen = HashSet(needs)
        val next = ArrayDeque(needs)
        val direct = needs.toHashSet()
        while (next.isNotEmpty()) {
            val id = next.removeFirst()
            if (live.get(Keys.cancel(id)) != null) return id
            val record = live.get(Keys.job(id))
            if (record == null) {
                ended.add(id)
                continue
            }
            if (id in direct) open.add(id)
            if (RecordWire.waits(record.value)) {
                stored.read(id, record.value).needs.forEach {
                    if (seen.add(it)) {
                        next
                            .addLast(it)
                    }
                }
            }
        }
        return null
    }

    sealed interface Naming

    /** All named jobs were accepted. [cutBy]: a cancelled one among them, or among those that they need. */
    data class Nameable(val cutBy: String?) : Naming

    data class Wrong(val why: String) : Naming

    data object Undecided : Naming

    /** Whether a new job may name these. The caller has brought the copy up to date after the request came. */
    fun nameable(id: String, needs: List<String>): Naming {
        if (id in needs) return Wrong("awaits: a job can't wait for itself")
        for (n in needs) {
            val job = live.atOnce { live.get(Keys.job(n))?.let { stored.read(n, it.value) } }
            if (job != null) {
                if (job.spec.kind == JobKind.SERVICE) return Wrong("awaits: $n is a service, which is never done")
                continue
            }
            when (ends.read(n)) {
                is Ends.Ended -> Unit
                Ends.None -> return Wrong("awaits: $n was never accepted")
                Ends.Unreachable -> return Undecided
            }
        }
        return when (val v = judge(needs)) {
            is Waits -> Nameable(null)
            is Cut -> Nameable(v.by)
            CantTell -> Undecided
        }
    }
}
