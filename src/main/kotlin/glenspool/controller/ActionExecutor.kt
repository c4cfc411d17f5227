package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.cloud.ScaleOutOutcome
import glenspool.core.Action
import glenspool.core.AdvanceFencingToken
import glenspool.core.CommandOutcome
import glenspool.core.DeleteMachines
import glenspool.core.LogMessage
import glenspool.core.Probe
import glenspool.core.ReadFinalStates
import glenspool.core.Resign
import glenspool.core.ScaleOut
import glenspool.core.SendCommands
import glenspool.core.StoreChanges
import glenspool.core.StoreImageLocations
import glenspool.core.StoreOutcome
import glenspool.core.cluster.OverdueMachine
import glenspool.core.model.FinalState
import glenspool.core.model.TaskState
import glenspool.http.CallPool
import glenspool.logging.loggerOf
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreResult
import glenspool.wire.FinalWire
import glenspool.wire.ImagesWire
import glenspool.worker.CommandReply
import glenspool.worker.WorkerClient
import kotlin.time.Duration

/**
 * Hands the core's actions to the adapters, each on a thread of a pool, and posts how they ended. Nothing that a rule
 * depends on leaves here while the leadership is not certain. [standBack]: for how long a node that resigns does not
 * stand again.
 */
class ActionExecutor(
    private val leadership: Leadership,
    private val store: KeyValueStoreClient,
    private val cloud: CloudClient,
    private val workers: WorkerClient,
    private val writer: StoreWriter,
    private val standBack: Duration,
    private val post: (Event) -> Unit,
) : AutoCloseable {
    /** A machine that does not answer holds a thread for seconds, and tens of them may be lost at once. */
    private val pool = CallPool("call", MAX_CALLS, QUEUED_CALLS)

    /** Questions to silent machines are slow by nature: they must not keep commands from machines that answer. */
    private val probePool = CallPool("probe", PROBES, QUEUED_CALLS)
    private val cloudPool = CallPool("cloud-call", CLOUD_CALLS, QUEUED_CLOUD_CALLS)

    /** Has the action carried out by a thread of a pool; how it ended comes back as an event. */
    fun perform(a: Action, term: Term) {
        when (a) {
            is SendCommands ->
                call({ post(Event.CommandsEnded(a, CommandOutcome.NOT_TRIED, null, term)) }) {
                    val (outcome, heartbeat) =
                        if (leadership.current() ==
                            term
                        ) {
                            workers.command(a)
                        } else {
                            CommandReply(CommandOutcome.NOT_TRIED, null)
                        }
                    if (log.isDebugEnabled) {
                        log
                            .debug("direct machine={} commands={} outcome={}", a.machine, a.commands, outcome)
                    }
                    post(Event.CommandsEnded(a, outcome, heartbeat, term))
                }
            is Probe ->
                run(probePool, { post(Event.ProbeEnded(a.machine, null, false)) }) {
                    post(
                        Event
                            .ProbeEnded(a.machine, workers.probe(a.addr), true),
                    )
                }
            is ScaleOut ->
                cloudCall({ post(Event.ScaleOutEnded(a, ScaleOutOutcome.Unknown)) }) {
                    val o = if (leadership.current() == term) cloud.rent(a) else ScaleOutOutcome.Unknown
                    log
                        .info("rent request={} type={} zone={} spot={} count={} outcome={}", a.request, a.type, a.zone, a.spot, a.count, o)
                    post(Event.ScaleOutEnded(a, o))
                }
            is DeleteMachines ->
                cloudCall({ post(Event.DeletionEnded(a.machines, false)) }) {
                    val ok = leadership.current() == term && cloud.delete(a.machines)
                    log.info("delete machines={} ok={}", a.machines, ok)
                    post(Event.DeletionEnded(a.machines, ok))
                }
            is AdvanceFencingToken ->
                call({ post(Event.FencingTokenAdvanced(null)) }) {
                    val t = leadership.raiseToken()
                    log.info("token raised to={}", t)
                    post(Event.FencingTokenAdvanced(t))
                }
            is StoreImageLocations ->
                call({ log.debug("images not kept") }) {
                    val r =
                        store
                            .transact(
                                mapOf(Keys.LEAD to term.recordVersion),
                                listOf(
                                    Put(
                                        Keys.images(a.part),
                                        ImagesWire
                                            .encode(a.images),
                                    ),
                                ),
                            )
                    if (r !is StoreResult.Ok) log.debug("images not kept: {}", r)
                }
            is ReadFinalStates ->
                call({ post(Event.FinalStatesRead(a.jobs, emptyMap(), term)) }) {
                    post(
                        Event
                            .FinalStatesRead(a.jobs, readEnds(a.jobs), term),
                    )
                }
            is Resign -> call({ log.warn("could not resign") }) { leadership.resign(a.reason, standBack) }
            is LogMessage -> if (a.isImportant) log.info(a.text) else log.debug(a.text)
            is StoreChanges -> if (!writer.offer(term, a)) post(Event.StoreEnded(StoreOutcome.Unknown, term))
        }
    }

    /** How the jobs ended, as far as the state service tells; a final state never changes. */
    private fun readEnds(jobs: List<String>): Map<String, FinalState> {
        val found = HashMap<String, FinalState>()
        for (id in jobs) {
            when (val r = store.get(Keys.final(id))) {
                is StoreResult.Ok -> found[id] = FinalWire.end(r.value.value)
                is StoreResult.Missing -> log.info("no end is stored of {}", id)
                // The next would fare no better.
                else -> return found
            }
        }
        return found
    }

    private fun call(refused: () -> Unit, body: () -> Unit) = run(pool, refused, body)

    private fun cloudCall(refused: () -> Unit, body: () -> Unit) = run(cloudPool, refused, body)

    private fun run(on: CallPool, refused: () -> Unit, body: () -> Unit) {
        val taken =
            on.run {
                try {
                    body()
                } catch (e: Exception) {
                    log.error("call failed", e)
                    refused()
                }
            }
        if (!taken) {
            log.warn("too many calls at once")
            refused()
        }
    }

    /** Looks after cancelled work whose time is over although this node can't lead at the moment. */
    fun endOverdue(o: OverdueMachine) = run(probePool, { log.debug("machine {} not looked after", o.machine) }) { end(o) }

    private fun end(o: OverdueMachine) {
        val r = if (o.addr.isEmpty()) null else workers.probe(o.addr)
        if (r != null &&
            r.machine == o.machine &&
            r.tasks.none { it.key.job in o.jobs && it.state != TaskState.EXITED }
        ) {
            return
        }
        val ok = cloud.delete(listOf(o.machine))
        log.info("delete machine={} reason=cancelled-work leading=false ok={}", o.machine, ok)
        if (ok) post(Event.DeletionEnded(listOf(o.machine), true))
    }

    override fun close() {
        listOf(pool, probePool, cloudPool).forEach { it.close() }
    }

    private companion object {
        val log = loggerOf(ActionExecutor::class.java)
        const val MAX_CALLS = 120

        /** A question to a lost machine holds a thread until its time is out, and hundreds may be lost at once. */
        const val PROBES = 64

        /** A command to each machine of a large fleet may wait its turn. */
        const val QUEUED_CALLS = 10_000
        const val CLOUD_CALLS = 3
        const val QUEUED_CLOUD_CALLS = 200
    }
}
