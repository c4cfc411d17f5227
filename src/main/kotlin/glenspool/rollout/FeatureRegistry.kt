package glenspool.rollout

/** How a level can be left again once it is active. */
enum class WayDown {
    /** Its stored forms stay: the level can't be deactivated. */
    NONE,

    /** What is stored in its forms is rewritten or runs out while nothing new is written in them. */
    REWRITE,
}

/** One step of stored form and behaviour. Its [number] and [name] are stored and never change their meaning. */
data class FeatureLevel(val number: Int, val name: String, val switchesOn: String, val wayDown: WayDown)

/** Which levels a build can read and write. A build reads every level from [lowest] to [highest]. */
data class BuildLevels(val build: String, val lowest: Int, val highest: Int) {
    fun reads(level: Int): Boolean = level in lowest..highest
}

/** The levels that a build knows, in ascending order without gaps. */
class FeatureRegistry(private val levels: List<FeatureLevel>, val lowestRead: Int = BASE) {
    init {
        require(
            levels.map {
                it.number
            } == (BASE + 1..BASE + levels.size).toList(),
        ) { "levels must be numbered without gaps" }
        require(lowestRead in BASE..BASE + levels.size) { "the lowest level that is read must be a known one" }
    }

    /** The highest level that this build reads and writes. */
    val highest: Int = BASE + levels.size

    fun find(number: Int): FeatureLevel? = levels.firstOrNull { it.number == number }

    fun nameOf(number: Int): String = if (number == BASE) BASE_NAME else find(number)?.name ?: "unknown"

    fun of(build: String) = BuildLevels(build, lowestRead, highest)

    companion object {
        /** The forms that the version in production writes. */
        const val BASE = 0
        const val BASE_NAME = "base"

        /** Descriptions and places stored apart from a job's record, and jobs that wait for others. */
        const val SEALED_RECORDS = 1

        /** What this build knows. */
        val CURRENT =
            FeatureRegistry(
                listOf(
                    FeatureLevel(
                        SEALED_RECORDS,
                        "sealed-records",
                        "records split into several values, and jobs that wait for others",
                        WayDown.REWRITE,
                    ),
                ),
            )
    }
}
