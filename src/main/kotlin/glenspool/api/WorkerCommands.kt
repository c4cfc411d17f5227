package glenspool.api

import glenspool.core.model.Command

/** The leader's answer to a heartbeat: the fencing token in force and the commands that carry it. */
data class WorkerCommands(val token: Long, val commands: List<Command>)
