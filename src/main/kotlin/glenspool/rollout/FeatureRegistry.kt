package glenspool.rollout

/** Whether a level can be deactivated once it is active. */
enum class Deactivation {
    /** The level can't be deactivated, because its stored forms are permanent. */
    UNSUPPORTED,

    /** No further record is written in its forms, and existing records are rewritten or deleted until none remains. */
    REWRITE,
}

/**
 * A version step of the stored forms and of the behaviour. Its number and name are stored and never change their
 * meaning.
 *
 * @property description what the level enables
 */
data class FeatureLevel(val number: Int, val name: String, val description: String, val deactivation: Deactivation)

/** The levels that a build can read and write: every level from [lowest] to [highest]. */
data class BuildLevels(val build: String, val lowest: Int, val highest: Int) {
    /** Whether the build reads the forms of [level]. */
    fun reads(level: Int): Boolean = level in lowest..highest
}

/**
 * The levels that a build knows.
 *
 * @param levels in ascending order without gaps
 * @property lowestRead the lowest level that the build still reads
 */
class FeatureRegistry(private val levels: List<FeatureLevel>, val lowestRead: Int = BASE) {
    /** The highest level that this build reads and writes. */
    val highest: Int = BASE + levels.size

    init {
        val numbers = levels.map { it.number }
        require(numbers == (BASE + 1..highest).toList()) { "feature levels must be numbered from 1 without gaps" }
        require(lowestRead in BASE..highest) { "the lowest level that a build reads must be one that it knows" }
    }

    /** Returns the level with this number, or null if this build does not know it. */
    fun find(number: Int): FeatureLevel? = levels.firstOrNull { it.number == number }

    /** Returns the name of the level with this number. */
    fun nameOf(number: Int): String = if (number == BASE) BASE_NAME else find(number)?.name ?: "unknown"

    /** Returns the levels that this registry describes, as those of the build with the name [build]. */
    fun levelsOf(build: String) = BuildLevels(build, lowestRead, highest)

    companion object {
        /** The level whose forms the version in production writes. */
        const val BASE = 0
        const val BASE_NAME = "base"

        /** Descriptions and placements stored apart from a job's record, and jobs with dependencies. */
        const val SEALED_RECORDS = 1

        /** The levels of this build. */
        val CURRENT =
            FeatureRegistry(
                listOf(
                    FeatureLevel(
                        SEALED_RECORDS,
                        "sealed-records",
                        "records split into several values, and jobs with dependencies",
                        Deactivation.REWRITE,
                    ),
                ),
            )
    }
}
