import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** The three controllers, as processes that the command of the deploy file starts. */
final class Controllers implements AutoCloseable {
    private final Record record;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final Map<String, List<String>> commands = new LinkedHashMap<>();
    final Map<String, String> api = new LinkedHashMap<>();
    private final Path folder;
    /** Keeps the controllers' ports from others until the controllers start. */
    private final List<ServerSocket> held = new ArrayList<>();

    Controllers(Settings settings, Record record, Store store, Fleet fleet) throws Exception {
        this.record = record;
        folder = Files.createTempDirectory("glenspool-case-");
        Map<String, String> internal = new LinkedHashMap<>();
        while (held.size() < 6) hold();
        for (int i = 0; i < 3; i++) {
            api.put(Settings.NODES.get(i), "127.0.0.1:" + held.get(i).getLocalPort());
            internal.put(Settings.NODES.get(i), "127.0.0.1:" + held.get(i + 3).getLocalPort());
        }
        fleet.nodes.putAll(api);
        for (String node : Settings.NODES) {
            Path file = folder.resolve(node + ".toml");
            Files.writeString(file, settings.toml(node, api.get(node), internal, fleet.cloud.address(), store.address(node)));
            List<String> command = new ArrayList<>(runLine());
            command.add(file.toString());
            commands.put(node, command);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Takes a free port below those that the system gives to outgoing connections. */
    private void hold() {
        try {
            held.add(new ServerSocket(ThreadLocalRandom.current().nextInt(12_000, 32_000), 1, InetAddress.getByName("127.0.0.1")));
        } catch (IOException e) {
            // The port is in use; another one is tried.
        }
    }

    private static List<String> runLine() throws Exception {
        for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
            if (line.startsWith("run =")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IllegalStateException("the deploy file has no run line");
    }

    synchronized void start(String node) throws Exception {
        ProcessBuilder b = new ProcessBuilder(commands.get(node));
        b.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CASE_LOG", "info"));
        File log = folder.resolve(node + ".log").toFile();
        b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        processes.put(node, b.start());
        record.add(node + " started, process " + processes.get(node).pid());
    }

    void startAll() throws Exception {
        for (ServerSocket s : held) s.close();
        for (String node : Settings.NODES) start(node);
    }

    synchronized void kill(String node) throws Exception {
        processes.get(node).destroyForcibly().waitFor(5, TimeUnit.SECONDS);
        record.add(node + " was killed");
    }

    void signal(String node, String signal) throws Exception {
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(node).pid())).start().waitFor();
        record.add(node + " got the signal " + signal);
    }

    /** The exit code of a process that ended by itself; null while it runs. */
    synchronized Integer exitCode(String node) {
        Process p = processes.get(node);
        return p.isAlive() ? null : p.exitValue();
    }

    /** Lines of a controller's log that contain the text. */
    List<String> log(String node, String text) throws Exception {
        List<String> found = new ArrayList<>();
        for (String line : Files.readAllLines(folder.resolve(node + ".log"))) if (line.contains(text)) found.add(line);
        return found;
    }

    /** Waits until the store names a leader and every node answers its probe. Returns the leader, or null. */
    String awaitLeader(Store store, int seconds) throws Exception {
        for (int i = 0; i < seconds * 10; i++) {
            boolean isReady = store.leader() != null;
            for (String address : api.values()) {
                Http.Response r = Http.call(address, "GET", "/ready", null, 1000);
                isReady &= r != null && r.status == 200;
            }
            if (isReady) return store.leader();
            Thread.sleep(100);
        }
        return null;
    }

    @Override
    public synchronized void close() {
        for (Process p : processes.values()) p.destroyForcibly();
        for (Process p : processes.values()) {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("CASE_KEEP") != null) return;
        File[] files = folder.toFile().listFiles();
        if (files != null) for (File f : files) f.delete();
        folder.toFile().delete();
    }
}
