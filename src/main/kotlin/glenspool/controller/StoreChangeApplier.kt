package glenspool.controller

import glenspool.core.Scheduler
import glenspool.logging.loggerOf
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.StoreCache
import glenspool.wire.ImagesWire
import glenspool.wire.MalformedMessage
import glenspool.wire.StoreWire

/**
 * Translates stored keys into the [Scheduler]'s events. Used only on the core thread, inside a scheduler step. A record
 * that can't be decoded is logged and skipped.
 */
internal class StoreChangeApplier(private val cache: StoreCache) {
    private val records = JobRecordReader(cache)

    /** Passes all stored image locations, jobs and cancellations to a new term's scheduler. */
    fun loadAll(scheduler: Scheduler) {
        scheduler.imageLocationsRead(imageLocations())
        cache.withPrefix(Keys.JOB).forEach { applyStored(scheduler, it) }
        cache.withPrefix(Keys.CANCEL).forEach { applyStored(scheduler, it) }
    }

    private fun applyStored(scheduler: Scheduler, item: StoreWire.Item) {
        apply(scheduler, StoreWire.Change(item.key, item.value, item.version))
    }

    /** Applies one reported change; keys that the scheduler does not use are ignored. */
    fun apply(scheduler: Scheduler, change: StoreWire.Change) {
        try {
            if (change.key.startsWith(Keys.JOB)) {
                applyJob(scheduler, change)
            } else {
                change.cancellation()?.let { scheduler.jobCancelled(it.job, it.version, it.at) }
            }
        } catch (e: MalformedMessage) {
            log.error("stored record {} could not be decoded and is skipped", change.key, e)
        }
    }

    private fun applyJob(scheduler: Scheduler, change: StoreWire.Change) {
        val id = change.key.removePrefix(Keys.JOB)
        val known = scheduler.job(id)
        val value = change.value
        when {
            value == null -> scheduler.jobRemoved(id)
            known == null -> scheduler.jobRecordRead(records.read(id, value), change.version)
            // This leader wrote the record of a known job itself, so only the version can be new.
            change.version > known.version -> known.version = change.version
        }
    }

    private fun imageLocations(): Map<String, Map<String, Double>> {
        val parts = cache.withPrefix(Keys.IMAGES).map(::decodeImages)
        return parts.fold(emptyMap()) { merged, part -> merged + part }
    }

    private fun decodeImages(item: StoreWire.Item): Map<String, Map<String, Double>> =
        try {
            ImagesWire.decode(item.value)
        } catch (e: MalformedMessage) {
            log.warn("one part of the stored image locations could not be decoded and is skipped", e)
            emptyMap()
        }

    private companion object {
        val log = loggerOf(StoreChangeApplier::class.java)
    }
}
