package glenspool.state

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The time of day, as a span since the epoch. */
fun wallClock(): Duration = Instant.now().toEpochMilli().milliseconds
