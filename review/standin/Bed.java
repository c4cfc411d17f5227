import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.stream.Stream;

/** A test bed: the stand-ins, three controllers and the record of what happened. Exit codes: 1 broken, 0 held, 2 no run. */
final class Bed implements AutoCloseable {
    interface Body {
        void run(Bed bed) throws Exception;
    }

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Settings settings;
    final Log log;
    final Store store;
    final Jobs jobs;
    final Fleet fleet;
    final Controllers controllers;
    final Users users;
    private final Path folder;

    private Bed(Path root, Path record, Settings settings) throws IOException {
        this.settings = settings;
        folder = Files.createTempDirectory("glenspool-review");
        log = new Log(record);
        store = new Store(settings, log);
        jobs = new Jobs(settings, log);
        fleet = new Fleet(settings, jobs, log);
        controllers = new Controllers(root, folder, settings, store.port(), fleet.cloudPort(), log);
        fleet.controllers = controllers;
        users = new Users(controllers, jobs, log);
    }

    Path logOf(String name) {
        return folder.resolve(name + ".log");
    }

    /** Runs a case: arguments are the repository's root and the record's file. */
    static void run(String[] args, Settings settings, Body body) {
        int code = 2;
        try (Bed bed = new Bed(Path.of(args[0]), Path.of(args[1]), settings)) {
            Runtime.getRuntime().addShutdownHook(new Thread(bed.controllers::close));
            try {
                bed.log.add("test", "TROUBLE=" + (bed.trouble ? 1 : 0));
                body.run(bed);
                code = bed.jobs.broken.isEmpty() ? 0 : 1;
            } catch (Exception e) {
                bed.log.add("test", "could not run: " + e);
                e.printStackTrace();
            }
            bed.log.add("test", code == 1 ? "BROKEN " + bed.jobs.broken.get(0) : code == 0 ? "held" : "did not run");
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    @Override
    public void close() throws IOException {
        controllers.close();
        if (System.getenv("KEEP") != null) {
            System.err.println(folder);
        } else {
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(it -> it.toFile().delete());
            }
        }
        log.close();
    }
}
