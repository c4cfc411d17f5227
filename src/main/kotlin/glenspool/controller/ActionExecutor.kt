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
import glenspool.core.model.Heartbeat
import glenspool.http.CallPool
import glenspool.logging.loggerOf
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreResult
import glenspool.wire.FinalWire
import glenspool.wire.ImagesWire
import glenspool.worker.WorkerClient
import kotlin.time.Duration

/**
 * Hands the core's actions to the adapters, each on a thread of a pool, and posts how they ended. Nothing that a rule
 * depends on is sent while the leadership is not certain. [resignBackoff]: for how long a node that resigns does not
 * stand for election again.
 */
class ActionExecutor(
    private val leadership: Leadership,
    private val store: KeyValueStoreClient,
    private val cloud: CloudClient,
    private val workers: WorkerClient,
    private val writer: StoreWriter,
    private val resignBackoff: Duration,
    private val post: (Event) -> Unit,
) : AutoCloseable {
    private val cancelledWork = CancelledWorkRemover(cloud, workers)

    /** A machine that does not answer holds a thread for seconds, and tens of them may be lost at once. */
    private val callPool = CallPool("call", MAX_CALLS, QUEUED_CALLS)

    /** Probes of silent machines are slow by nature: they must not delay commands to machines that answer. */
    private val probePool = CallPool("probe", PROBES, QUEUED_CALLS)
    private val cloudPool = CallPool("cloud-call", CLOUD_CALLS, QUEUED_CLOUD_CALLS)

    /** Has the action carried out by a thread of a pool; how it ended comes back as an event. */
    fun perform(action: Action, term: Term) {
        when (action) {
            is SendCommands -> sendCommands(action, term)
            is Probe -> probe(action)
            is ScaleOut -> scaleOut(action, term)
            is DeleteMachines -> deleteMachines(action, term)
            is AdvanceFencingToken -> advanceToken()
            is StoreImageLocations -> storeImageLocations(action, term)
            is ReadFinalStates -> readFinalStates(action, term)
            is Resign -> resign(action)
            is LogMessage -> if (action.isImportant) log.info(action.text) else log.debug(action.text)
            is StoreChanges -> if (!writer.offer(term, action)) post(Event.StoreEnded(StoreOutcome.Unknown, term))
        }
    }

    /** Removes cancelled work whose deadline has passed although this node can't lead at the moment. */
    fun removeOverdueWork(overdue: OverdueMachine) =
        run(probePool, onNotDone = { log.debug("overdue machine {} not checked", overdue.machine) }) {
            if (cancelledWork.deleteUnlessWorkGone(overdue)) post(Event.DeletionEnded(listOf(overdue.machine), true))
        }

    private fun leads(term: Term) = leadership.current() == term

    private fun sendCommands(action: SendCommands, term: Term) =
        run(callPool, onNotDone = { post(Event.CommandsEnded(action, CommandOutcome.NOT_TRIED, null, term)) }) {
            if (leads(term)) {
                val (outcome, heartbeat) = workers.command(action)
                commandsEnded(action, outcome, heartbeat, term)
            } else {
                commandsEnded(action, CommandOutcome.NOT_TRIED, null, term)
            }
        }

    private fun commandsEnded(sent: SendCommands, outcome: CommandOutcome, heartbeat: Heartbeat?, term: Term) {
        if (log.isDebugEnabled) {
            log.debug("direct machine={} commands={} outcome={}", sent.machine, sent.commands, outcome)
        }
        post(Event.CommandsEnded(sent, outcome, heartbeat, term))
    }

    private fun probe(action: Probe) =
        run(probePool, onNotDone = { post(Event.ProbeEnded(action.machine, null, wasSent = false)) }) {
            post(Event.ProbeEnded(action.machine, workers.probe(action.addr), wasSent = true))
        }

    private fun scaleOut(action: ScaleOut, term: Term) =
        run(cloudPool, onNotDone = { post(Event.ScaleOutEnded(action, ScaleOutOutcome.Unknown)) }) {
            val outcome = if (leads(term)) cloud.rent(action) else ScaleOutOutcome.Unknown
            log.info(
                "scale-out request={} type={} zone={} spot={} count={} outcome={}",
                action.request, action.type, action.zone, action.spot, action.count, outcome,
            )
            post(Event.ScaleOutEnded(action, outcome))
        }

    private fun deleteMachines(action: DeleteMachines, term: Term) =
        run(cloudPool, onNotDone = { post(Event.DeletionEnded(action.machines, false)) }) {
            val isDeleted = leads(term) && cloud.delete(action.machines)
            log.info("delete machines={} ok={}", action.machines, isDeleted)
            post(Event.DeletionEnded(action.machines, isDeleted))
        }

    private fun advanceToken() =
        run(callPool, onNotDone = { post(Event.FencingTokenAdvanced(null)) }) {
            val token = leadership.advanceToken()
            log.info("fencing token advanced to={}", token)
            post(Event.FencingTokenAdvanced(token))
        }

    private fun storeImageLocations(action: StoreImageLocations, term: Term) =
        run(callPool, onNotDone = { log.debug("image locations not stored") }) {
            val put = Put(Keys.images(action.part), ImagesWire.encode(action.images))
            val result = store.transact(mapOf(Keys.LEAD to term.recordVersion), listOf(put))
            if (result !is StoreResult.Ok) log.debug("image locations not stored: {}", result)
        }

    private fun readFinalStates(action: ReadFinalStates, term: Term) =
        run(callPool, onNotDone = { post(Event.FinalStatesRead(action.jobs, emptyMap(), term)) }) {
            post(Event.FinalStatesRead(action.jobs, finalStates(action.jobs), term))
        }

    /** The final states that the key-value store returns; a final state never changes. */
    private fun finalStates(jobs: List<String>): Map<String, FinalState> {
        val found = HashMap<String, FinalState>()
        for (id in jobs) {
            when (val result = store.get(Keys.final(id))) {
                is StoreResult.Ok -> found[id] = FinalWire.end(result.value.value)
                is StoreResult.Missing -> log.info("no final state stored for job {}", id)
                // The next would fare no better.
                else -> return found
            }
        }
        return found
    }

    private fun resign(action: Resign) =
        run(callPool, onNotDone = { log.warn("could not resign") }) {
            leadership.resign(action.reason, resignBackoff)
        }

    /** Runs [call] on [pool]; [onNotDone] is called if the pool is full or the call failed. */
    private fun run(pool: CallPool, onNotDone: () -> Unit, call: () -> Unit) {
        val isAccepted =
            pool.run {
                try {
                    call()
                } catch (e: Exception) {
                    log.error("call failed", e)
                    onNotDone()
                }
            }
        if (isAccepted) return
        log.warn("call pool full")
        onNotDone()
    }

    override fun close() {
        listOf(callPool, probePool, cloudPool).forEach { it.close() }
    }

    private companion object {
        val log = loggerOf(ActionExecutor::class.java)
        const val MAX_CALLS = 120

        /** A probe of a lost machine holds a thread until it times out, and hundreds may be lost at once. */
        const val PROBES = 64

        /** A command to each machine of a large fleet may wait its turn. */
        const val QUEUED_CALLS = 10_000
        const val CLOUD_CALLS = 3
        const val QUEUED_CLOUD_CALLS = 200
    }
}
