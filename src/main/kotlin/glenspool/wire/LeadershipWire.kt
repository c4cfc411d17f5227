package glenspool.wire

/**
 * The stored forms of the leadership record and of the fencing token's counter. The record's fields are read one by
 * one, without a decoded object: the leader is looked up for each heartbeat that a follower answers.
 */
object LeadershipWire {
    /** [boot]: which process of [node] leads. */
    fun encode(node: String, boot: String, token: Long): Fields =
        mapOf(
            "node" to node,
            "boot" to boot,
            "token" to token,
        )

    fun node(record: Fields): String? = record["node"] as? String

    fun boot(record: Fields): String? = record["boot"] as? String

    fun token(record: Fields): Long? = record["token"] as? Long

    fun encodeCounter(token: Long): Fields = mapOf("token" to token)

    /** The last fencing token that was given out. Throws [MalformedMessage]. */
    fun decodeCounter(counter: Fields): Long = counter.count("token")
}
