package glenspool.simulation

import java.util.concurrent.atomic.AtomicReference

/** Keeps the first failure on any thread, since later ones are often only its consequences. */
class FirstFailure {
    private val first = AtomicReference<Throwable>()

    /** Records a failure, unless there was one before. */
    fun record(failure: Throwable) {
        first.compareAndSet(null, failure)
    }

    /** Throws the first failure, if there was any. */
    fun rethrow() {
        first.get()?.let { throw it }
    }
}
