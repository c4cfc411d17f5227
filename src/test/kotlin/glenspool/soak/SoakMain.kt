package glenspool.soak

import java.util.concurrent.Callable
import java.util.concurrent.Executors
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the soak: `SoakMain FIRST_SEED RUNS WORKERS TROUBLE_SECONDS PARALLEL_RUNS`. Needs the built jar in `target`.
 * Prints each run's outcome, and for a failed one the command that repeats it and the events around each violation.
 */
fun main(args: Array<String>) {
    val (firstSeed, runs, workers, troubleSeconds, parallel) = args.map { it.toInt() }
    val executor = Executors.newFixedThreadPool(parallel)
    val results =
        (firstSeed until firstSeed + runs).map { seed ->
            executor.submit(
                Callable {
                    val settings = SoakSettings(seed.toLong(), workers, troubleSeconds.seconds, "target/soak")
                    SoakRun(settings).play().also { print(it, workers, troubleSeconds) }
                },
            )
        }
    val failed = results.count { it.get().violations.isNotEmpty() }
    println("${runs - failed} passed, $failed failed")
    exitProcess(if (failed == 0) 0 else 1)
}

private fun print(result: SoakResult, workers: Int, troubleSeconds: Int) =
    synchronized(System.out) {
        val outcome = if (result.violations.isEmpty()) "passed" else "FAILED"
        println("soak seed=${result.seed} $outcome ${result.summary}")
        if (result.violations.isEmpty()) return@synchronized
        println("again: .ci/soak ${result.seed} 1 $workers $troubleSeconds 1")
        result.violations.forEach(::println)
    }
