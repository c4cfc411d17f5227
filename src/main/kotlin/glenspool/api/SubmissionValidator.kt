package glenspool.api

import glenspool.config.Settings
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.MachineType
import glenspool.rollout.FeaturePermits
import glenspool.rollout.FeatureRegistry
import glenspool.state.conditions
import glenspool.wire.RecordWire
import org.http4k.core.Status

/**
 * Checks submissions for what makes a job impossible to store or to run, apart from its dependencies.
 *
 * [machineTypes]: what the cloud offers; null while that is unknown.
 */
internal class SubmissionValidator(
    private val settings: Settings,
    private val features: FeaturePermits,
    private val machineTypes: () -> List<MachineType>?,
) {
    private val teams = settings.teams.associateBy { it.name }
    private val limits = settings.storeLimits.safe

    /** Null: the job may be accepted as far as these checks go. */
    fun validate(record: JobRecord): Refusal? =
        checkSize(record)
            ?: checkQuota(record.spec)
            ?: checkMachineTypes(record.spec)

    private fun checkSize(record: JobRecord): Refusal? =
        when {
            record.spec.maxRecordBytes > settings.storeLimits.now.valueBytes / 2 -> DESCRIPTION_TOO_LONG
            record.dependencies.size * BYTES_PER_DEPENDENCY <= limits.valueBytes / 2 -> null
            RecordWire.encodeDescriptionParts(record, limits.valueBytes).size > maxDescriptionParts() ->
                UserAnswer.Refused(Status.BAD_REQUEST, "awaits: more jobs are named than can be kept")
            else -> null
        }

    /**
     * The parts of a description are conditions of the transaction that accepts the job, besides the job's own two keys
     * and the level's.
     */
    private fun maxDescriptionParts(): Int {
        val permit = features.permit(FeatureRegistry.SEALED_RECORDS)
        val levelConditions = permit?.conditions().orEmpty().size
        return limits.txnOps * CONDITIONS_PER_OP - JOB_CONDITIONS - levelConditions
    }

    private fun checkQuota(spec: JobSpec): Refusal? {
        val team = teams[spec.team] ?: return impossible("unknown team ${spec.team}")
        // The tasks of an array may run one after the other.
        val simultaneousTasks = if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        val cpus = spec.resourceRequest.cpus * simultaneousTasks
        val gpus = spec.resourceRequest.gpus * simultaneousTasks
        return when {
            exceeds(cpus, team.cpusMax) -> impossible("more CPUs than the team's limit")
            exceeds(gpus, team.gpusMax) -> impossible("more GPUs than the team's limit")
            else -> null
        }
    }

    private fun exceeds(amount: Double, quota: Double?): Boolean = quota != null && amount > quota + TOLERANCE

    private fun checkMachineTypes(spec: JobSpec): Refusal? {
        val known = machineTypes() ?: return UserAnswer.TryLater
        return if (known.any { fits(spec, it) }) null else impossible("no allowed machine type is large enough")
    }

    private fun fits(spec: JobSpec, type: MachineType): Boolean =
        (spec.types == null || type.name in spec.types) &&
            spec.resourceRequest.fitsIn(type.capacity) &&
            (spec.zone == null || spec.zone in type.zones || spec.zone in settings.zones)

    private fun impossible(reason: String) = UserAnswer.Refused(Status.UNPROCESSABLE_ENTITY, reason)

    companion object {
        val DESCRIPTION_TOO_LONG = UserAnswer.Refused(Status.BAD_REQUEST, "the job's description is too long")

        /** Absorbs rounding when amounts are multiplied. */
        private const val TOLERANCE = 1e-6

        /** A job id of usual length, with the quotes and the comma around it. */
        private const val BYTES_PER_DEPENDENCY = 13

        /** How many conditions the store takes in a transaction for each change that its limit allows. */
        private const val CONDITIONS_PER_OP = 4

        /** The live and the final key must be absent. */
        private const val JOB_CONDITIONS = 2
    }
}
