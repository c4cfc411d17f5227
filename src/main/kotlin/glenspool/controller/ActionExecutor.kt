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
import glenspool.core.ReportViolation
import glenspool.core.Resign
import glenspool.core.ScaleOut
import glenspool.core.SendCommands
import glenspool.core.StoreChanges
import glenspool.core.StoreImageLocations
import glenspool.core.StoreOutcome
import glenspool.core.model.FinalState
import glenspool.core.model.Heartbeat
import glenspool.core.model.StartTask
import glenspool.http.CallPool
import glenspool.logging.InvariantLog
import glenspool.logging.loggerOf
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreResult
import glenspool.wire.FinalStateWire
import glenspool.wire.ImagesWire
import glenspool.worker.WorkerCalls
import kotlin.time.Duration

/**
 * Carries out the core's actions through the adapters, each on a pool thread, and posts their outcomes. No request
 * on which a rule depends is sent while the leadership is uncertain. [resignBackoff]: for how long a node that resigns
 * does not stand for election again. [isCancelled]: whether this node knows that the job is cancelled.
 */
class ActionExecutor(
    private val leadership: Leadership,
    private val store: KeyValueStoreClient,
    private val cloud: CloudClient,
    private val workers: WorkerCalls,
    private val writer: StoreWriter,
    private val resignBackoff: Duration,
    private val isCancelled: (job: String) -> Boolean,
    private val post: (Event) -> Unit,
) : AutoCloseable {
    /** Has many threads, since an unreachable machine blocks one for seconds, and tens may be lost together. */
    private val callPool = CallPool("call", MAX_CALL_THREADS, MAX_QUEUED_CALLS)

    /** Separate from [callPool], since slow probes of silent machines must not delay commands to reachable machines. */
    private val probePool = CallPool("probe", MAX_PROBE_THREADS, MAX_QUEUED_CALLS)
    private val cloudPool = CallPool("cloud-call", MAX_CLOUD_CALL_THREADS, MAX_QUEUED_CLOUD_CALLS)

    /** Carries out the action on a pool thread; its outcome is posted as an event. */
    fun perform(action: Action, term: Term) {
        when (action) {
            is SendCommands -> sendCommands(action, term)
            is Probe -> probe(action)
            is ScaleOut -> scaleOut(action, term)
            is DeleteMachines -> deleteMachines(action, term)
            is AdvanceFencingToken -> advanceToken(action)
            is StoreImageLocations -> storeImageLocations(action, term)
            is ReadFinalStates -> readFinalStates(action, term)
            is Resign -> resign(action)
            is LogMessage -> if (action.isImportant) log.info(action.text) else log.debug(action.text)
            is ReportViolation -> InvariantLog.report(action.rule, action.details)
            is StoreChanges -> if (!writer.offer(term, action)) post(Event.StoreEnded(StoreOutcome.Unknown, term))
        }
    }

    private fun isLeading(term: Term) = leadership.current() == term

    private fun sendCommands(action: SendCommands, term: Term) =
        run(
            callPool,
            onNotStarted = { post(Event.CommandsEnded(action, CommandOutcome.NOT_TRIED, null, term)) },
            // The request may have been sent before the exception, and may be executed at any later time.
            onException = { post(Event.CommandsEnded(action, CommandOutcome.UNKNOWN, null, term)) },
        ) {
            if (isLeading(term)) {
                val sent = withoutCancelledStarts(action)
                val (outcome, heartbeat) = workers.sendCommands(sent)
                postCommandsEnded(sent, outcome, heartbeat, term)
            } else {
                postCommandsEnded(action, CommandOutcome.NOT_TRIED, null, term)
            }
        }

    /**
     * Leaves out the starts of cancelled jobs. The request may have waited for a thread since the core decided on it,
     * and a user may have been told of the cancellation since. If the machine replies, its heartbeat shows the core
     * that these tasks are not there.
     */
    private fun withoutCancelledStarts(action: SendCommands): SendCommands {
        val (withheld, sent) = action.commands.partition { it is StartTask && isCancelled(it.key.job) }
        if (withheld.isEmpty()) return action
        log.info("starts withheld machine={} tasks={} reason=cancelled-job", action.machine, withheld.map { it.key })
        return action.copy(commands = sent)
    }

    private fun postCommandsEnded(sent: SendCommands, outcome: CommandOutcome, heartbeat: Heartbeat?, term: Term) {
        if (log.isDebugEnabled) {
            log.debug("direct machine={} commands={} outcome={}", sent.machine, sent.commands, outcome)
        }
        post(Event.CommandsEnded(sent, outcome, heartbeat, term))
    }

    private fun probe(action: Probe) =
        run(probePool, onFailure = { post(Event.ProbeEnded(action, null, wasSent = false)) }) {
            post(Event.ProbeEnded(action, workers.probe(action.addr), wasSent = true))
        }

    private fun scaleOut(action: ScaleOut, term: Term) =
        run(cloudPool, onFailure = { post(Event.ScaleOutEnded(action, ScaleOutOutcome.Unknown)) }) {
            val outcome = if (isLeading(term)) cloud.rent(action) else ScaleOutOutcome.Unknown
            log.info(
                "scale-out request={} type={} zone={} spot={} count={} outcome={}",
                action.request, action.type, action.zone, action.spot, action.count, outcome,
            )
            post(Event.ScaleOutEnded(action, outcome))
        }

    private fun deleteMachines(action: DeleteMachines, term: Term) =
        run(cloudPool, onFailure = { post(Event.DeletionEnded(action.machines, false)) }) {
            val isDeleted = isLeading(term) && cloud.delete(action.machines)
            log.info("delete machines={} ok={}", action.machines, isDeleted)
            post(Event.DeletionEnded(action.machines, isDeleted))
        }

    private fun advanceToken(action: AdvanceFencingToken) =
        run(callPool, onFailure = { post(Event.FencingTokenAdvanced(null)) }) {
            val token = leadership.advanceToken()
            if (token == null) {
                log.info("fencing token not advanced cause={}; it is tried again", action.cause.label)
            } else {
                log.info("fencing token advanced to={} cause={}", token, action.cause.label)
            }
            post(Event.FencingTokenAdvanced(token))
        }

    private fun storeImageLocations(action: StoreImageLocations, term: Term) =
        run(callPool, onFailure = { post(Event.ImageLocationsNotStored(action.part, term)) }) {
            val put = Put(Keys.images(action.part), ImagesWire.encode(action.images))
            val result = store.transact(mapOf(Keys.LEADERSHIP to term.recordVersion), listOf(put))
            if (result !is StoreResult.Ok) {
                log.debug("image locations not stored: {}", result)
                post(Event.ImageLocationsNotStored(action.part, term))
            }
        }

    private fun readFinalStates(action: ReadFinalStates, term: Term) =
        run(callPool, onFailure = { post(Event.FinalStatesRead(action.jobs, emptyMap(), term)) }) {
            post(Event.FinalStatesRead(action.jobs, fetchFinalStates(action.jobs), term))
        }

    /** Returns the final states of [jobs], as far as the key-value store returns them; a final state never changes. */
    private fun fetchFinalStates(jobs: List<String>): Map<String, FinalState> {
        val found = HashMap<String, FinalState>()
        for (id in jobs) {
            when (val result = store.get(Keys.final(id))) {
                is StoreResult.Ok -> found[id] = FinalStateWire.finalState(result.value.value)
                is StoreResult.Missing -> log.info("no final state stored for job {}", id)
                // This request failed, and the next ones would most likely fail too.
                else -> return found
            }
        }
        return found
    }

    private fun resign(action: Resign) =
        run(callPool, onFailure = { log.warn("resignation from the leadership was not completed") }) {
            leadership.resign(action.reason, resignBackoff)
        }

    /** Runs [call] on [pool]. Calls [onFailure] if the pool is full or the call throws an exception. */
    private fun run(pool: CallPool, onFailure: () -> Unit, call: () -> Unit) =
        run(pool, onNotStarted = onFailure, onException = onFailure, call)

    /**
     * Runs [call] on [pool]. Calls [onNotStarted] if the pool is full, and [onException] if the call throws an
     * exception, which may happen after its request was sent.
     */
    private fun run(pool: CallPool, onNotStarted: () -> Unit, onException: () -> Unit, call: () -> Unit) {
        val isAccepted =
            pool.tryExecute {
                try {
                    call()
                } catch (e: Exception) {
                    log.error("call to a worker, the cloud or the key-value store failed with an exception", e)
                    onException()
                }
            }
        if (isAccepted) return
        log.warn("call to a worker, the cloud or the key-value store was not started: its call pool is full")
        onNotStarted()
    }

    override fun close() {
        listOf(callPool, probePool, cloudPool).forEach { it.close() }
    }

    private companion object {
        val log = loggerOf(ActionExecutor::class.java)
        const val MAX_CALL_THREADS = 120

        /** A probe of a lost machine blocks a thread until it times out, and hundreds may be lost together. */
        const val MAX_PROBE_THREADS = 64

        /** Enough to queue one command for each machine of a large fleet. */
        const val MAX_QUEUED_CALLS = 10_000
        const val MAX_CLOUD_CALL_THREADS = 3
        const val MAX_QUEUED_CLOUD_CALLS = 200
    }
}
