package glenspool.state

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Returns the wall-clock time since the epoch. */
fun wallClock(): Duration = Instant.now().toEpochMilli().milliseconds
