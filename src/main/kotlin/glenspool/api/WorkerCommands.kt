package glenspool.api

import glenspool.core.model.Command

/** The leader's answer to a heartbeat: its current fencing token and the commands that carry this token. */
data class WorkerCommands(val token: Long, val commands: List<Command>)
