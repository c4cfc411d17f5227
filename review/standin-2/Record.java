import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** What was sent, answered and run, in the order in which it happened, with seconds since the start. */
final class Record implements AutoCloseable {
    private final long start = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws Exception {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    double now() {
        return (System.nanoTime() - start) / 1e9;
    }

    synchronized void add(String line) {
        out.printf("%8.3f %s%n", now(), line);
        out.flush();
    }

    /** Writes the line to standard output too. */
    void say(String line) {
        add(line);
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
