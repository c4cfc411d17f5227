import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: one line for each event, with the seconds since the start. */
final class Log implements AutoCloseable {
    private static final long START = System.nanoTime();
    private final PrintWriter out;

    Log(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), "UTF-8");
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    synchronized void add(String who, String what) {
        out.printf(Locale.ROOT, "%8.3f %-10s %s%n", now(), who, what);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
