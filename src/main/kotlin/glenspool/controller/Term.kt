package glenspool.controller

/**
 * One term of this node's leadership. [token]: the fencing token it began with; [recordVersion]: the version of the
 * leadership record, which guards every write; [lease]: the store lease that the record lives on.
 */
data class Term(val token: Long, val recordVersion: Long, val lease: Long)
