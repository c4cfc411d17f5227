package glenspool.simulation

import glenspool.core.Scheduler
import kotlin.time.Duration

/** What the leader knows of a job, for failure messages. */
internal fun describe(leader: Scheduler?, now: Duration, id: String): String {
    val j = leader?.jobs?.get(id) ?: return "unknown to the leader"
    val where =
        j.placements.values.joinToString { p ->
            val m = leader?.machines?.get(p.machine)
            "${p.key.task}#${p.attempt}@${p.machine} ${p.step}/${p.state} sent=${p.startSent} stop=${p.stop} machine[trusted=${m?.trusted} heard=${m?.lastHeardAt} deleting=${m?.isDeleting} loose=${m?.unconfirmedStarts} busy=${m?.requestInFlight}]"
        }
    return "now=$now writing=${j.writeInFlight} changes=${j.changes}/${j.storedChanges} version=${j.version} orphans=${j.orphans} " +
        "waiting=${j.waiting(9)} notBefore=${j.notBefore} failedOn=${j.failedOn} $where"
}
