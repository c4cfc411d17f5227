package glenspool.wire

/** Which machine has which images, as one leader leaves it to the next. */
object ImagesWire {
    fun encode(images: Map<String, Map<String, Double>>): Fields = mapOf("on" to images)

    fun decode(m: Fields): Map<String, Map<String, Double>> =
        (m["on"] as? Map<*, *>).orEmpty().entries.associate { (machine, images) ->
            val own = images as? Map<*, *> ?: throw MalformedMessage("on: maps are needed")
            machine.toString() to
                own.entries.associate { (image, gb) ->
                    image.toString() to
                        ((gb as? Number)?.toDouble() ?: throw MalformedMessage("on: sizes are needed"))
                }
        }
}
