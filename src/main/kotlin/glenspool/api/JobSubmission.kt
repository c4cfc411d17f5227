package glenspool.api

import glenspool.core.model.JobRecord
import glenspool.rollout.FeaturePermits
import glenspool.rollout.FeatureRegistry
import glenspool.state.StoreCache
import glenspool.state.wallClock
import glenspool.wire.MalformedMessage
import glenspool.wire.UserWire
import org.http4k.core.Status
import java.util.BitSet

/** Decodes and checks submissions, and passes valid ones to [JobAcceptance] to store them. */
internal class JobSubmission(
    private val cache: StoreCache,
    private val features: FeaturePermits,
    private val validator: SubmissionValidator,
    private val dependencyResolver: DependencyResolver,
    private val query: JobQuery,
    private val acceptance: JobAcceptance,
) {
    /** Handles a submission; [body] is the request body that the user sent. */
    fun submit(body: ByteArray): UserAnswer {
        val submission =
            try {
                UserWire.decodeSubmission(body)
            } catch (e: MalformedMessage) {
                return UserAnswer.Refused(Status.BAD_REQUEST, e.message ?: "malformed")
            }
        val record =
            JobRecord(
                spec = submission.spec,
                submittedAt = wallClock(),
                lastAttempt = 0,
                done = BitSet(),
                placements = emptyList(),
                dependencies = submission.dependencies,
            )
        validator.validate(record)?.let { return query.findOrRefuse(record.spec.id, it) }
        return if (record.dependencies.isEmpty()) acceptance.accept(record, null) else submitDependent(record)
    }

    private fun submitDependent(record: JobRecord): UserAnswer {
        val jobId = record.spec.id
        // Without the permit the record would be stored in a form that some controllers may not be able to read yet.
        val permit = features.permit(FeatureRegistry.SEALED_RECORDS)
        if (permit == null) return query.findOrRefuse(jobId, UserAnswer.TryLater)
        if (!cache.sync(JobQuery.SYNC_TIMEOUT)) return UserAnswer.Unreachable
        return when (val validation = dependencyResolver.validate(jobId, record.dependencies)) {
            is DependencyResolver.Valid -> acceptance.accept(record, validation.abortedBy)
            is DependencyResolver.Invalid ->
                query.findOrRefuse(jobId, UserAnswer.Refused(Status.UNPROCESSABLE_ENTITY, validation.reason))
            DependencyResolver.Undecided -> UserAnswer.Unreachable
        }
    }
}
