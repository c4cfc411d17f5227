package glenspool.frozen

import com.fasterxml.jackson.databind.ObjectMapper
import glenspool.cli.execute
import glenspool.config.OperatorScript
import glenspool.config.SettingsError
import glenspool.config.SettingsReader
import glenspool.controller.RecoveryReplies
import glenspool.controller.transactionOf
import glenspool.core.DeletionCause
import glenspool.core.ForgetCause
import glenspool.core.OrderCounts
import glenspool.core.ScaleOutCause
import glenspool.core.StartCause
import glenspool.core.StopCause
import glenspool.core.StoreChanges
import glenspool.core.StoreFinalState
import glenspool.core.UpdateJobRecord
import glenspool.core.model.ExitReason
import glenspool.core.model.FinalState
import glenspool.core.model.ForgetTask
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.Priority
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.peer.CancellationMessage
import glenspool.peer.DifferenceList
import glenspool.peer.PeerContinuityEvidence
import glenspool.peer.PeerLevels
import glenspool.peer.PeerPaths
import glenspool.peer.PeerStatus
import glenspool.peer.PeerWire
import glenspool.peer.RecoveryReply
import glenspool.peer.RecoveryRequest
import glenspool.peer.RecoveryStatus
import glenspool.peer.RecoveryVerb
import glenspool.peer.RelayAnswer
import glenspool.peer.RelayRequest
import glenspool.peer.RolloutReply
import glenspool.peer.RolloutRequest
import glenspool.peer.RolloutStatus
import glenspool.peer.RolloutVerb
import glenspool.reconcile.BreakerState
import glenspool.reconcile.DifferenceKind
import glenspool.reconcile.DifferenceTotals
import glenspool.reconcile.GatheringProgress
import glenspool.reconcile.PhaseState
import glenspool.reconcile.RecoveryPhase
import glenspool.reconcile.RecoveryPolicy
import glenspool.reconcile.RecoveryRecord
import glenspool.reconcile.RecoverySnapshot
import glenspool.reconcile.StartKind
import glenspool.rollout.ActivationMode
import glenspool.rollout.Exclusion
import glenspool.rollout.Hold
import glenspool.rollout.HoldCause
import glenspool.rollout.LevelRecord
import glenspool.rollout.LevelStage
import glenspool.rollout.ObservedMember
import glenspool.rollout.OperatorOrders
import glenspool.rollout.RolloutState
import glenspool.simulation.CapturedRun
import glenspool.simulation.job
import glenspool.state.Keys
import glenspool.wire.Cbor
import glenspool.wire.CloudWire
import glenspool.wire.Fields
import glenspool.wire.FinalStateWire
import glenspool.wire.ImagesWire
import glenspool.wire.JobWire
import glenspool.wire.RecordWire
import glenspool.wire.RecoveryWire
import glenspool.wire.RolloutWire
import glenspool.wire.Stage
import glenspool.wire.StoreWire
import glenspool.wire.WorkerWire
import kotlinx.collections.immutable.persistentHashMapOf
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.io.File
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

/**
 * Compares every form that leaves the process byte by byte: stored values, messages on the wire and between
 * controllers, and the names that scripts and operators use. Controllers of several versions run together, so a changed
 * byte breaks a running cluster.
 */
class FrozenFormsTest {
    private val json = ObjectMapper()

    private fun hex(bytes: ByteArray) = bytes.joinToString("") { "%02x".format(it) }

    /** Returns the encoded bytes, followed by their content as JSON so that a difference can be read. */
    private fun hexAndJson(fields: Fields): String =
        Cbor.encode(fields).let { "${hex(it)} ${json.writeValueAsString(Cbor.decodeMap(it))}" }

    private val done =
        BitSet().apply {
            set(0)
            set(9)
        }
    private val gang =
        job(
            "run-1", JobKind.GANG, 12, priority = Priority.URGENT, types = listOf("big"), zone = "a", sameZone = true,
            checkpointInterval =
                5
                    .seconds,
            deadline = 90.seconds,
        )
    private val placements =
        listOf(StoredPlacement(1, 8, "i-1"), StoredPlacement(2, 9, "i-1"), StoredPlacement(3, 9, "i-2"))
    private val record = JobRecord(gang, 1234.seconds, 9, done, placements, dependenciesDoneAt = 1300.seconds)
    private val waiting =
        JobRecord(
            job("run-2", spread = true), 5.seconds, 0, BitSet(), emptyList(),
            dependencies = listOf("run-1", "run-0"),
        )
    private val split =
        record.copy(
            placementParts = mapOf(1 to placements.take(1), 2 to placements.drop(1)),
            descriptionPartCount = 2,
            placements = emptyList(),
        )

    @Test
    fun `stored values`() {
        val kinds =
            JobKind.entries.associate { kind ->
                "job kind ${kind.ordinal}" to
                    JobRecord(job("k-${kind.ordinal}", kind), 1.seconds, 0, BitSet(), emptyList())
            }
        val priorities =
            Priority.entries.associate { p ->
                "job priority ${p.ordinal}" to
                    JobRecord(job("p-${p.ordinal}", priority = p), 1.seconds, 0, BitSet(), emptyList())
            }
        val records =
            kinds + priorities +
                mapOf("job with places" to record, "job that waits" to waiting, "job in parts" to split)
        val values =
            records.mapValues { RecordWire.encode(it.value) } +
                mapOf(
                    "part of a description" to RecordWire.encodeDescriptionParts(waiting, 4096).single(),
                    "part with places" to RecordWire.encodePlacements(placements),
                    "done bits" to mapOf("done" to RecordWire.encodeBits(done)),
                    "final state done" to FinalStateWire.encode(FinalState.DONE, 12, null),
                    "final state cancelled" to FinalStateWire.encode(FinalState.CANCELLED, 12, null),
                    "final state cancelled with another" to FinalStateWire.encode(FinalState.CANCELLED, 12, "run-0"),
                    "images" to ImagesWire.encode(mapOf("i-1" to mapOf("img" to 2.5))),
                    "operators' orders" to
                        RolloutWire.encode(
                            OperatorOrders(
                                ActivationMode.MANUAL, 2, 1,
                                listOf(
                                    Exclusion(
                                        "b", "somebody",
                                        7
                                            .seconds,
                                    ),
                                ),
                            ),
                        ),
                    "no operators' orders" to RolloutWire.encode(OperatorOrders()),
                ) +
                LevelStage.entries.associate {
                    "level ${it.ordinal}" to
                        RolloutWire.encode(LevelRecord(2, "sealed", it, 7, 9.seconds))
                } +
                RecoveryPhase.entries.associate {
                    "recovery ${it.ordinal}" to
                        RecoveryWire.encode(RecoveryRecord(7, it, 9.seconds, isPaused = true))
                } +
                HoldCause.entries.associate { cause ->
                    val members = listOf(ObservedMember("b", "1.0", 2, 3.seconds))
                    val state = RolloutState(2, members, Hold(cause, "b", "why"), 4.seconds)
                    "rollout state ${cause.ordinal}" to RolloutWire.encode(state)
                } +
                ActivationMode.entries.associate {
                    "activation mode ${it.ordinal}" to
                        RolloutWire.encode(OperatorOrders(it))
                }
        GoldenFile("stored-values.txt").check(values.mapValues { hexAndJson(it.value) })
    }

    @Test
    fun `keys and transactions`() {
        val keys =
            listOf(
                Keys.LEADERSHIP, Keys.TOKEN_COUNTER, Keys.MACHINE_TYPES, Keys.images(3), Keys.job("run-1"),
                Keys
                    .cancel("run-1"),
                Keys.chunk("run-1", 2), Keys.descriptionPart("run-1", 2), Keys.placementPart("run-1", 2),
                Keys.final("run-1"), Keys.RECOVERY, Keys.LEVEL, Keys.ROLLOUT_ORDERS, Keys.ROLLOUT_STATE, Keys.LIVE,
            )
        val writes =
            listOf(
                UpdateJobRecord(
                    "run-1", 5, split, listOf(0), 3, requiresUncancelled = true,
                    parts = mapOf(1 to 1L, 7 to 2L),
                ),
                StoreFinalState("run-3", 6, null, 4),
                StoreFinalState("run-4", 7, 8, 4),
                StoreFinalState("run-5", 9, null, 4, "run-4"),
            )
        val transaction = transactionOf(11, StoreChanges(writes), mapOf(Keys.LEVEL to 12L))
        val message = StoreWire.transaction(transaction.conditions, transaction.puts, transaction.removes)
        val requests =
            listOf(
                StoreWire.listPath("g/", "g/j/x"), StoreWire.listPath("g/", null),
                StoreWire
                    .watchPath("g/", 7, 3.seconds),
                StoreWire
                    .renewalPath(7),
            )
        GoldenFile("keys-and-transactions.txt").check(
            mapOf(
                "keys" to keys.joinToString(" "), "transaction" to hexAndJson(message),
                "requests" to requests.joinToString(" "),
                "new lease" to hexAndJson(StoreWire.leaseRequest(3.seconds)),
            ),
        )
    }

    @Test
    fun `messages of workers, cloud and users`() {
        val tasks =
            TaskState.entries
                .filter {
                    it != TaskState.EXITED
                }.map { TaskStatus(TaskKey("run-1", it.ordinal), 3, it, null, true) } +
                ExitReason.entries.map { TaskStatus(TaskKey("run-2", it.ordinal), 4, TaskState.EXITED, it, false) }
        val commands =
            listOf(
                StartTask(TaskKey("run-1", 4), 2, StartCause.PLACED),
                StopTask(TaskKey("run-1", 1), 1, 10.seconds, StopCause.PREEMPTED),
                ForgetTask(TaskKey("run-1", 0), 1, ForgetCause.RECORDED),
            )
        val statuses =
            Stage.entries.associate {
                "answer ${it.ordinal}" to
                    JobWire.status("run-1", it, 1, 2, listOf("run-0"), "run-9")
            }
        val messages =
            mapOf(
                "report" to
                    WorkerWire.encode(Heartbeat("i-1", "10.0.0.1:9", "g8", "a", true, 2, 31, 7, 7.5.seconds, tasks)),
                "answer to a report" to WorkerWire.heartbeatReply(7, commands),
                "commands" to WorkerWire.directCommands(7, 2, commands),
                "redirect" to WorkerWire.redirect("n2"),
                "rental" to CloudWire.rentalRequest("r-7-1", "g8", "a", true, 3),
                "deletion" to CloudWire.deletionRequest(listOf("i-1", "i-2")),
            ) + statuses
        GoldenFile("messages.txt").check(messages.mapValues { hexAndJson(it.value) })
    }

    private val phase = PhaseState(RecoveryPhase.ADOPTING, 8.seconds)
    private val gathering = GatheringProgress(listOf(GatheringProgress.Group("a", "big", 4, 1)))
    private val snapshot =
        RecoverySnapshot(
            7, StartKind.COLD, phase, 12.seconds, 10.seconds, isPaused = true, isApproved = false, gathering,
            DifferenceTotals(
                DifferenceKind.entries.associateWith {
                    2
                },
                3, 4,
            ),
            0.75, BreakerState(true, 3, 4, 8.seconds, null),
            mapOf(
                "stop" to 1L,
            ),
            persistentHashMapOf(),
        )
    private val recoveryStatus =
        RecoveryStatus(
            "n1", "n2", true, mapOf("start.restored" to 3L),
            RecoveryReplies
                .recovery(snapshot, RecoveryPolicy()),
        )
    private val differences =
        DifferenceList(2, listOf(DifferenceList.Entry("orphan-task", "i-1", "run-1/0", "why", "worker", 1.5)))
    private val recoveryReply = RecoveryReply(false, "why", 2, recoveryStatus, differences)
    private val rolloutStatus =
        RolloutStatus(
            "n1", "n2", "1.0", 0, 2, 1, "sealed", "active", 5, "problem", "fence", 2, "manual", 2, 1, listOf("b"),
            "hold", "b", "detail", 6,
            listOf(RolloutStatus.Member("b", "1.0", 2, true, 3, 4, 5)), listOf("health"), listOf("plan"), 7,
        )
    private val rolloutReply = RolloutReply(false, "why", 2, rolloutStatus)

    @Test
    fun `messages between controllers`() {
        val status =
            PeerStatus(
                "n1", true, "n2", true, 1, PeerLevels("boot", "1.0", 0, 2, true, 1, 2, 3, 4), PeerContinuityEvidence(7),
            )
        val cancellations =
            CancellationMessage(
                "n1", "boot", 5, listOf(CancellationMessage.Entry("run-1", 6, 7)), 8, 9, true, 10, 11, "other", 12,
            )
        val messages =
            mapOf(
                "status" to PeerWire.encode(status),
                "plain status" to PeerWire.encode(PeerStatus("n1", false, null, false)),
                "relay request" to PeerWire.encode(RelayRequest("GET", "/api/jobs/run-1", byteArrayOf(1, 2))),
                "relay answer" to PeerWire.encode(RelayAnswer(200, byteArrayOf(3), "1")),
                "cancellations" to PeerWire.encode(cancellations),
                "recovery reply" to PeerWire.encode(recoveryReply), "rollout reply" to PeerWire.encode(rolloutReply),
            ) +
                RecoveryVerb.entries.associate {
                    "recovery request ${it.ordinal}" to
                        PeerWire.encode(RecoveryRequest(it, "somebody"))
                } +
                RolloutVerb.entries.associate {
                    "rollout request ${it.ordinal}" to
                        PeerWire.encode(RolloutRequest(it, 2, "b", "somebody"))
                }
        val paths =
            listOf(
                PeerPaths.STATUS, PeerPaths.RELAY, PeerPaths.RELAY_WITH_DEPENDENCIES,
                PeerPaths.CANCELLATIONS, PeerPaths.ROLLOUT, PeerPaths.RECOVERY,
            )
        GoldenFile("peer-messages.txt").check(
            messages.mapValues { hex(it.value) } + ("paths" to paths.joinToString(" ")),
        )
    }

    @Test
    fun `what operators see and write`() {
        val causes =
            StartCause.entries + StopCause.entries + ForgetCause.entries + ScaleOutCause.entries + DeletionCause.entries
        val counts = OrderCounts().also { counts -> causes.forEach { counts.add(it) } }
        val settings = SettingsReader().read(settingsFile())
        val table =
            "local t = {} for k, v in pairs(tuning) do t[#t + 1] = k .. '=' .. v end " +
                "for k, v in pairs(deployment) do t[#t + 1] = 'deployment.' .. k .. '=' .. v end " +
                "table.sort(t) error(table.concat(t, ' '))"
        val script = assertThrows(SettingsError::class.java) { OperatorScript(settings).run(table, "names") }
        val help = CapturedRun.of { execute(listOf("--help")) }
        GoldenFile("operators.txt").check(
            mapOf(
                "order causes" to OrderCounts.describe(counts.snapshot()),
                "differences" to DifferenceKind.entries.joinToString(" ") { it.label },
                "recovery as JSON" to json.writeValueAsString(recoveryReply),
                "rollout as JSON" to json.writeValueAsString(rolloutReply),
                "script" to
                    script.problems
                        .single()
                        .lines()
                        .first(),
                "help" to help.out.replace("\n", "|"),
                "settings" to settings.toString().replace(Regex("[A-Za-z]*(?=\\()|[A-Za-z]+="), ""),
            ),
        )
    }

    private fun settingsFile(): File =
        File.createTempFile("settings", ".toml").apply {
            deleteOnExit()
            writeText(
                """
                host_name = "n1"
                location = "a"
                api_addr = "127.0.0.1:8080"
                internal_addr = "127.0.0.1:8081"
                [[members]]
                host_name = "n2"
                location = "b"
                addr = "127.0.0.1:8082"
                [outside]
                cloud = "127.0.0.1:8443"
                state = "127.0.0.1:2379"
                [settings]
                zones = ["a", "b"]
                skew_ms = 5.0
                [[settings.teams]]
                name = "t0"
                cpus = 1.0
                cpus_max = 2.0
                gpus = 3.0
                gpus_max = 4.0
                [[settings.objectives]]
                kind = "wait"
                class = "train"
                within_s = 1.5
                share = 0.85
                [settings.workers]
                report_s = 3.0
                lease_s = 24.0
                gang_wait_s = 30.0
                gang_peer_s = 8.0
                cancel_s = 49.0
                [settings.state]
                rps = 100.0
                write_rps = 18.0
                value_kb = 4.0
                txn_ops = 8
                [settings.state.next]
                txn_ops = 6
                [settings.cloud]
                rps = 5.0
                list_lag_s = 4.0
                [settings.quota]
                fd_limit = 2000
                """.trimIndent(),
            )
        }
}
