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
 * Checks whether submitted jobs can be stored and can ever run, apart from their dependencies.
 *
 * @property machineTypes returns the machine types that the cloud offers, or null while they are unknown
 */
internal class SubmissionValidator(
    private val settings: Settings,
    private val features: FeaturePermits,
    private val machineTypes: () -> List<MachineType>?,
) {
    private val teams = settings.teams.associateBy { it.name }
    private val limits = settings.storeLimits.effective

    /** Returns the reason to refuse the job, or null if it passes these checks. */
    fun validate(record: JobRecord): Refusal? =
        checkSize(record)
            ?: checkQuota(record.spec)
            ?: checkMachineTypes(record.spec)

    private fun checkSize(record: JobRecord): Refusal? =
        when {
            record.spec.maxRecordBytes > settings.storeLimits.current.valueBytes / 2 -> DESCRIPTION_TOO_LONG
            record.dependencies.size * BYTES_PER_DEPENDENCY <= limits.valueBytes / 2 -> null
            RecordWire.encodeDescriptionParts(record, limits.valueBytes).size > maxDescriptionParts() ->
                UserAnswer.Refused(Status.BAD_REQUEST, "awaits: more jobs are named than can be kept")
            else -> null
        }

    /**
     * Returns how many parts a description may have. Each part is a condition of the transaction that accepts the job,
     * in addition to the conditions on the job's own two keys and on the level's key.
     */
    private fun maxDescriptionParts(): Int {
        val permit = features.permit(FeatureRegistry.SEALED_RECORDS)
        val levelConditions = permit?.conditions().orEmpty().size
        return limits.txnOps * CONDITIONS_PER_OP - JOB_CONDITIONS - levelConditions
    }

    private fun checkQuota(spec: JobSpec): Refusal? {
        val team = teams[spec.team] ?: return unprocessable("unknown team ${spec.team}")
        // The tasks of an array may run one after the other, so only one of them has to fit.
        val simultaneousTasks = if (spec.kind == JobKind.ARRAY) 1 else spec.tasks
        val cpus = spec.resourceRequest.cpus * simultaneousTasks
        val gpus = spec.resourceRequest.gpus * simultaneousTasks
        return when {
            exceeds(cpus, team.cpusMax) -> unprocessable("more CPUs than the team's limit")
            exceeds(gpus, team.gpusMax) -> unprocessable("more GPUs than the team's limit")
            else -> null
        }
    }

    private fun exceeds(amount: Double, quota: Double?): Boolean = quota != null && amount > quota + ROUNDING_TOLERANCE

    private fun checkMachineTypes(spec: JobSpec): Refusal? {
        val known = machineTypes() ?: return UserAnswer.TryLater
        return if (known.any { fits(spec, it) }) null else unprocessable("no allowed machine type is large enough")
    }

    private fun fits(spec: JobSpec, type: MachineType): Boolean =
        (spec.types == null || type.name in spec.types) &&
            spec.resourceRequest.fitsIn(type.capacity) &&
            (spec.zone == null || spec.zone in type.zones || spec.zone in settings.zones)

    private fun unprocessable(reason: String) = UserAnswer.Refused(Status.UNPROCESSABLE_ENTITY, reason)

    companion object {
        val DESCRIPTION_TOO_LONG = UserAnswer.Refused(Status.BAD_REQUEST, "the job's description is too long")

        /** Tolerates rounding errors of multiplied amounts. */
        private const val ROUNDING_TOLERANCE = 1e-6

        /** The size of a job id of usual length with its quotes and comma. */
        private const val BYTES_PER_DEPENDENCY = 13

        /** The number of conditions that the store accepts in a transaction per change that its limit allows. */
        private const val CONDITIONS_PER_OP = 4

        /** The conditions that the live key and the final key are absent. */
        private const val JOB_CONDITIONS = 2
    }
}
