import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The three controllers, as processes that are started with the command of the deploy file. */
final class Controllers implements AutoCloseable {
    static final List<String> NAMES = List.of("bobbin-0", "bobbin-1", "bobbin-2");
    private final Random random = new Random();
    private final Path root;
    private final Path folder;
    private final Settings settings;
    private final Log log;
    private final Map<String, String> api = new LinkedHashMap<>();
    private final Map<String, String> internal = new LinkedHashMap<>();
    private final Map<String, Process> processes = new LinkedHashMap<>();
    /** Where each controller finds the state service and the cloud; a proxy may stand between. */
    final Map<String, Integer> statePorts = new LinkedHashMap<>();
    final int cloudPort;

    Controllers(Path root, Path folder, Settings settings, int statePort, int cloudPort, Log log) throws IOException {
        this.root = root;
        this.folder = folder;
        this.settings = settings;
        this.log = log;
        this.cloudPort = cloudPort;
        for (String name : NAMES) {
            api.put(name, "127.0.0.1:" + freePort());
            internal.put(name, "127.0.0.1:" + freePort());
            statePorts.put(name, statePort);
        }
    }

    /** A free port below the range that the system uses for connections, so that none takes it before its use. */
    private int freePort() throws IOException {
        for (int i = 0; i < 1000; i++) {
            int port = 15_000 + random.nextInt(15_000);
            if (api.containsValue("127.0.0.1:" + port) || internal.containsValue("127.0.0.1:" + port)) continue;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // Another process uses it.
            }
        }
        throw new IOException("no free port");
    }

    String api(String name) {
        return api.get(name);
    }

    String internal(String name) {
        return internal.get(name);
    }

    Map<String, String> apis() {
        return api;
    }

    void startAll() throws IOException {
        for (String name : NAMES) start(name);
    }

    synchronized void start(String name) throws IOException {
        Path file = folder.resolve(name + ".toml");
        Files.writeString(file, toml(name));
        List<String> command = command();
        command.add(file.toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.put(name, process);
        log.add(name, "started, process " + process.pid());
    }

    /** The command of the deploy file, as a list of arguments. */
    private List<String> command() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(root.resolve("deploy/service.toml")));
        if (!matcher.find()) throw new IOException("deploy/service.toml has no command");
        return new ArrayList<>(List.of(matcher.group(1).split(" ")));
    }

    synchronized void kill(String name) {
        Process process = processes.get(name);
        process.destroyForcibly();
        try {
            process.waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        log.add(name, "killed");
    }

    void signal(String name, String signal) throws IOException {
        log.add(name, "signal " + signal);
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid())).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    boolean isAlive(String name) {
        return processes.get(name).isAlive();
    }

    int exitCode(String name) {
        return processes.get(name).exitValue();
    }

    /** Waits until all controllers are ready and one leads. */
    void awaitReady(Store store, double limit) {
        double until = Log.now() + limit;
        while (Log.now() < until) {
            boolean ready = store.leader() != null;
            for (String name : NAMES) {
                Wire.Answer answer = Wire.call("GET", api(name), "/ready", null, 1);
                Wire.Answer unknown = Wire.call("GET", api(name), "/api/jobs/run-999999", null, 2);
                ready &= answer != null && answer.status() == 200 && unknown != null && unknown.status() == 404;
            }
            if (ready) return;
            Wire.sleep(0.2);
        }
        throw new IllegalStateException("the controllers did not become ready");
    }

    @Override
    public synchronized void close() {
        for (Process process : processes.values()) process.destroyForcibly();
    }

    private String toml(String name) {
        StringBuilder text = new StringBuilder();
        int index = NAMES.indexOf(name);
        text.append("host_name = \"").append(name).append("\"\n");
        text.append("location = \"").append(settings.locations.get(index)).append("\"\n");
        text.append("api_addr = \"").append(api(name)).append("\"\n");
        text.append("internal_addr = \"").append(internal(name)).append("\"\n\n");
        for (String member : NAMES) {
            if (member.equals(name)) continue;
            text.append("[[members]]\nhost_name = \"").append(member).append("\"\n");
            text.append("location = \"").append(settings.locations.get(NAMES.indexOf(member))).append("\"\n");
            text.append("addr = \"").append(internal(member)).append("\"\n\n");
        }
        text.append("[outside]\ncloud = \"127.0.0.1:").append(cloudPort).append("\"\n");
        text.append("state = \"127.0.0.1:").append(statePorts.get(name)).append("\"\n\n[settings]\n");
        text.append("initial_size = ").append(settings.initialSize).append("\nzones = [");
        for (String zone : settings.zones) text.append('"').append(zone).append("\", ");
        text.append("]\nskew_ms = 5.0\n\n");
        for (int i = 0; i < settings.teams.size(); i++) {
            text.append("[[settings.teams]]\nname = \"").append(settings.teams.get(i));
            text.append("\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = ").append(settings.gpus[i]);
            text.append("\ngpus_max = ").append(settings.gpusMax[i]).append("\n\n");
        }
        text.append("[settings.workers]\nreport_s = ").append(settings.reportS).append("\nlease_s = ").append(settings.leaseS);
        text.append("\ngang_wait_s = ").append(settings.gangWaitS).append("\ngang_peer_s = ").append(settings.gangPeerS);
        text.append("\ncancel_s = ").append(settings.cancelS);
        text.append("\n\n[settings.state]\nrps = ").append(settings.rps).append("\nwrite_rps = ").append(settings.writeRps);
        text.append("\nvalue_kb = ").append(settings.valueKb).append("\ntxn_ops = ").append(settings.txnOps);
        text.append("\n\n[settings.cloud]\nrps = ").append(settings.cloudRps).append("\nlist_lag_s = ").append(settings.listLagS);
        text.append("\n\n[settings.quota]\ncores = ").append(settings.cores).append("\nram_mb = ").append(settings.ramMb);
        text.append("\nfd_limit = ").append(settings.fdLimit).append('\n');
        return text.toString();
    }
}
