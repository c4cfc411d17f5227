package glenspool.api

import glenspool.core.model.FinalState
import glenspool.core.model.JobKind
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.LiveKeyReader
import glenspool.wire.RecordWire

/**
 * How a job stands that waits for others, worked out from the records when somebody asks. Nobody has to have stored
 * that it is cut off, so the answer holds at every node as soon as the cancellation does, whoever leads or does not.
 * It can never be taken back: a cancelled job is never done, so what needs it is never released.
 */
class DependencyResolver(private val live: LiveKeyReader, private val stored: JobRecordReader, private val finalStates: FinalStates) {
    sealed interface Verdict

    /** [open]: those of the jobs named that are not done. */
    data class Waits(val open: List<String>) : Verdict

    /** [by]: the cancelled job. */
    data class Aborted(val by: String) : Verdict

    data object Undetermined : Verdict

    /**
     * The caller has brought the copy up to date. All live jobs that are needed are looked at, however long the chain
     * is.
     */
    fun judge(dependencies: List<String>): Verdict {
        val ended = ArrayList<String>()
        val open = ArrayList<String>()
        val cut = live.atomically { follow(dependencies, ended, open) }
        if (cut != null) return Aborted(cut)
        for (id in ended) {
            // It was accepted before the job that names it, and is not live: its final state is there.
            val end = (finalStates.read(id) as? FinalStates.Ended ?: return Undetermined).end
            if (end == FinalState.CANCELLED) return Aborted(id)
        }
        return Waits(open)
    }

    private fun follow(dependencies: List<String>, ended: MutableList<String>, open: MutableList<String>): String? {
        val seen = HashSet(dependencies)
        val next = ArrayDeque(dependencies)
        val direct = dependencies.toHashSet()
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
                stored.read(id, record.value).dependencies.forEach {
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

    /** All named jobs were accepted. [abortedBy]: a cancelled one among them, or among those that they need. */
    data class ValidDependencies(val abortedBy: String?) : Naming

    data class InvalidDependencies(val why: String) : Naming

    data object Undecided : Naming

    /** Whether a new job may name these. The caller has brought the copy up to date after the request came. */
    fun validate(id: String, dependencies: List<String>): Naming {
        if (id in dependencies) return InvalidDependencies("awaits: a job can't wait for itself")
        for (n in dependencies) {
            val job = live.atomically { live.get(Keys.job(n))?.let { stored.read(n, it.value) } }
            if (job != null) {
                if (job.spec.kind == JobKind.SERVICE) return InvalidDependencies("awaits: $n is a service, which is never done")
                continue
            }
            when (finalStates.read(n)) {
                is FinalStates.Ended -> Unit
                FinalStates.None -> return InvalidDependencies("awaits: $n was never accepted")
                FinalStates.Unreachable -> return Undecided
            }
        }
        return when (val v = judge(dependencies)) {
            is Waits -> ValidDependencies(null)
            is Aborted -> ValidDependencies(v.by)
            Undetermined -> Undecided
        }
    }
}
