package glenspool.controller

/**
 * One term of this node's leadership. [token] is the fencing token that it began with, [recordVersion] the version of
 * the leadership record, on which every write is conditioned, and [lease] the store lease to which the record is bound.
 */
data class Term(val token: Long, val recordVersion: Long, val lease: Long)
