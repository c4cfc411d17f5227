import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud and the workers on its machines. The cloud has no capacity beyond the machines that are up at the start. */
final class Fleet {
    private record Listed(double at, List<Map<String, Object>> machines) {}

    final Settings settings;
    final Jobs jobs;
    final Log log;
    Controllers controllers;
    private final TreeMap<String, Worker> workers = new TreeMap<>();
    private final ArrayDeque<Listed> lists = new ArrayDeque<>();
    private final HttpServer cloud;
    volatile int largestReport = 0;
    volatile int refusedCommands = 0;
    volatile int deleted = 0;

    Fleet(Settings settings, Jobs jobs, Log log) throws IOException {
        this.settings = settings;
        this.jobs = jobs;
        this.log = log;
        this.cloud = Wire.serve(this::handle);
    }

    int cloudPort() {
        return cloud.getAddress().getPort();
    }

    /** Starts machines, spread over the zones; their workers begin to report. */
    synchronized void start(int count, boolean loaners) throws IOException {
        for (int i = 0; i < count; i++) {
            String name = String.format("i-%06d", workers.size() + 1);
            workers.put(name, new Worker(name, settings.zones.get(i % settings.zones.size()), loaners, this, workers.size()));
        }
        snapshot();
        Thread thread =
            new Thread(
                () -> {
                    while (true) {
                        Wire.sleep(0.5);
                        snapshot();
                        jobs.checkCancelled();
                        jobs.checkWaiting(workers());
                    }
                },
                "lists");
        thread.setDaemon(true);
        thread.start();
    }

    synchronized List<Worker> workers() {
        return new ArrayList<>(workers.values());
    }

    /** Waits until every worker has heard of a leader. */
    void awaitLeader(double limit) {
        double until = Log.now() + limit;
        while (Log.now() < until) {
            if (workers().stream().allMatch(Worker::knowsLeader)) return;
            Wire.sleep(0.1);
        }
        throw new IllegalStateException("not all workers have heard of a leader");
    }

    private synchronized void snapshot() {
        List<Map<String, Object>> machines = new ArrayList<>();
        for (Worker worker : workers.values()) {
            machines.add(
                Wire.map(
                    "uid", worker.name, "addr", worker.addr(), "frame", settings.frame, "hall", worker.hall(),
                    "loaners", worker.loaners(), "stage", "running", "held_s", 100.0 + Log.now()));
        }
        lists.addLast(new Listed(Log.now(), machines));
        while (lists.size() > 2 && lists.peekFirst().at() < Log.now() - settings.listLagS) lists.removeFirst();
    }

    private Wire.Answer handle(String method, String path, Map<String, String> query, byte[] body) throws Exception {
        Wire.sleep(0.05);
        if (path.equals("/flavors")) {
            Map<String, Object> frame =
                Wire.map(
                    "name", settings.frame, "cpus", settings.cpus, "accelerators", settings.accelerators,
                    "memory_gb", settings.memoryGb, "local_gb", 150.0, "fetch_gb_per_s", settings.fetchGbPerS,
                    "price", 5.66, "spot_price", 1.19, "startup_s", settings.startupS, "halls", settings.zones);
            return Wire.answer(200, "frames", List.of(frame));
        }
        if (path.equals("/hosts/delete")) return delete(Wire.decode(body));
        if (method.equals("POST")) return Wire.answer(503, "error", "no capacity");
        String after = query.getOrDefault("after", "");
        int page = Integer.parseInt(query.getOrDefault("page", "500"));
        List<Map<String, Object>> rows = new ArrayList<>();
        boolean more = false;
        synchronized (this) {
            for (Map<String, Object> machine : lists.peekFirst().machines()) {
                if (((String) machine.get("uid")).compareTo(after) <= 0) continue;
                if (rows.size() == page) {
                    more = true;
                    break;
                }
                rows.add(machine);
            }
        }
        return Wire.answer(200, "spindles", rows, "has_next", more);
    }

    @SuppressWarnings("unchecked")
    private Wire.Answer delete(Map<String, Object> body) {
        for (String name : (List<String>) body.get("spindles")) {
            Worker worker;
            synchronized (this) {
                worker = workers.remove(name);
            }
            if (worker == null) continue;
            deleted++;
            log.add("cloud", name + " deleted");
            worker.delete();
        }
        return Wire.answer(200);
    }
}
