package glenspool.wire

/**
 * The stored form of the image locations, which a leader stores for the next one. The field `on` is a map from machine
 * to a map from each image that the machine has cached to its size in GB.
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
