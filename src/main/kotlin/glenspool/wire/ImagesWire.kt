package glenspool.wire

/**
 * The stored form of which machine has which images cached, as one leader leaves it to the next: under `on` a map from
 * machine to image to size in GB.
 */
object ImagesWire {
    fun encode(images: Map<String, Map<String, Double>>): Fields = mapOf("on" to images)

    fun decode(fields: Fields): Map<String, Map<String, Double>> =
        (fields["on"] as? Map<*, *>).orEmpty().entries.associate { (machine, images) ->
            machine.toString() to decodeSizes(images)
        }

    private fun decodeSizes(images: Any?): Map<String, Double> {
        if (images !is Map<*, *>) throw MalformedMessage("on", "maps are needed")
        return images.entries.associate { (image, gb) ->
            image.toString() to ((gb as? Number)?.toDouble() ?: throw MalformedMessage("on", "sizes are needed"))
        }
    }
}
