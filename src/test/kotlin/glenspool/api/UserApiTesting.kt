package glenspool.api

import glenspool.config.SettingsTest
import glenspool.http.CallResult
import glenspool.simulation.InMemoryStore
import glenspool.state.Put
import glenspool.wire.Fields
import org.junit.jupiter.api.Assertions.assertEquals

/** Settings with the smallest limits of all sites: 2 KiB per value and 4 changes per transaction. */
internal val SMALL_STORE_SETTINGS =
    SettingsTest.VALID_SETTINGS.replace(
        "[settings.cloud]",
        "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n[settings.cloud]",
    )

/** Lowers the limits that the store itself enforces to those of [SMALL_STORE_SETTINGS]. */
internal fun InMemoryStore.lowerLimits() {
    maxValueBytes = 2048
    maxChangesPerTransaction = 4
}

/** Stores a value without using the API, as another node would. */
internal fun InMemoryStore.put(key: String, value: Fields) {
    transact(emptyMap(), listOf(Put(key, value)), emptyList())
}

/** The job's stage in an answer to a user. */
internal val CallResult.Response.stage: Any? get() = body["stage"]

internal fun assertAnswer(status: Int, stage: String, answer: CallResult.Response) {
    assertEquals(status to stage, answer.status to answer.stage)
}
