package glenspool.wire

/**
 * The stored forms of the leadership record and of the counter of fencing tokens. The record's fields are read one by
 * one, without a decoded object, because a follower looks up the leader for each heartbeat that it answers.
 */
object LeadershipWire {
    /** @param boot identifies the process of [node] that leads */
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

    /**
     * Decodes the last fencing token that was issued.
     *
     * @throws MalformedMessage if the counter is missing or invalid
     */
    fun decodeCounter(counter: Fields): Long = counter.count("token")
}
