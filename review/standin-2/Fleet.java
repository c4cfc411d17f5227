import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;

/** The cloud, its machines and their workers. */
final class Fleet implements AutoCloseable {
    final Settings settings;
    final Record record;
    final Map<String, String> nodes = new ConcurrentHashMap<>();
    /** The jobs that users uploaded, by id, and for how long a task of each runs. */
    final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
    final Map<String, Double> runSeconds = new ConcurrentHashMap<>();
    final ConcurrentSkipListMap<String, Worker> workers = new ConcurrentSkipListMap<>();
    /** On which machines each task is at present, from the moment when it has its image. */
    private final Map<String, List<String>> onMachines = new ConcurrentHashMap<>();
    /** Each start of a task while it was on another machine. */
    final List<String> ranTwice = new ArrayList<>();
    final Map<String, Integer> starts = new ConcurrentHashMap<>();
    final Map<String, Integer> done = new ConcurrentHashMap<>();
    private final Map<String, List<String>> hires = new ConcurrentHashMap<>();
    private final Map<String, Double> deletedAt = new ConcurrentHashMap<>();
    private final TreeMap<String, Map<String, Object>> listed = new TreeMap<>();
    final Random random = new Random(1);
    /** How many machines there can be at once. */
    volatile int capacity;
    /** Whether each rental is refused with "no capacity". */
    volatile boolean hasNoCapacity;
    /** How many machines one rental gets at most. */
    volatile int mostPerRental = 50;
    volatile double bootSeconds = 2;
    /** By which share of its run time a task may end earlier or later, together. */
    volatile double runSpread;
    /** Whether the next machine that runs a task is faulty: every task there fails after two seconds. */
    volatile boolean isFirstMachineFaulty;
    private String faultyMachine = "";
    private double cloudTokens;
    private long cloudAt = System.nanoTime();
    private int created;
    final Http.Server cloud;
    volatile int largestReport;
    volatile int largestCommand;
    volatile int refusedCommands;

    Fleet(Settings settings, Record record) throws Exception {
        this.settings = settings;
        this.record = record;
        this.cloudTokens = settings.cloudRps * 2;
        cloud = new Http.Server(this::serve);
    }

    Worker add(boolean isUp) throws Exception {
        String name;
        synchronized (this) {
            name = String.format("i-%06d", ++created);
        }
        Worker w = new Worker(this, name, record.now(), isUp ? 0 : bootSeconds);
        workers.put(name, w);
        return w;
    }

    int rented() {
        return hires.values().stream().mapToInt(List::size).sum();
    }

    int returned() {
        return deletedAt.size();
    }

    private synchronized boolean take() {
        long now = System.nanoTime();
        cloudTokens = Math.min(settings.cloudRps * 2, cloudTokens + (now - cloudAt) / 1e9 * settings.cloudRps);
        cloudAt = now;
        if (cloudTokens < 1) return false;
        cloudTokens--;
        return true;
    }

    @SuppressWarnings("unchecked")
    private Http.Response serve(Http.Request r) throws Exception {
        if (!take()) return Http.reply(429, Map.of());
        Thread.sleep(100);
        if (r.path.equals("/flavors")) return Http.reply(200, Map.of("frames", List.of(type())));
        if (r.path.equals("/hosts/delete")) {
            List<String> names = (List<String>) Cbor.decodeMap(r.body).get("spindles");
            if (names.size() > 100) return Http.reply(400, Map.of());
            for (String name : names) {
                Worker w = workers.remove(name);
                if (w == null) continue;
                deletedAt.put(name, record.now());
                w.delete();
                record.add("cloud deleted " + name);
            }
            return Http.reply(200, Map.of());
        }
        if (r.method.equals("POST")) return rent(Cbor.decodeMap(r.body));
        return list(r);
    }

    private Map<String, Object> type() {
        Map<String, Object> t = new LinkedHashMap<>();
        t.put("name", settings.typeName);
        t.put("cpus", settings.cpus);
        t.put("accelerators", settings.gpus);
        t.put("memory_gb", settings.memory);
        t.put("local_gb", settings.cache);
        t.put("fetch_gb_per_s", settings.fetch);
        t.put("price", settings.price);
        t.put("spot_price", settings.spotPrice);
        t.put("startup_s", settings.boot);
        t.put("halls", List.of(settings.zone));
        return t;
    }

    private synchronized Http.Response rent(Map<String, Object> body) throws Exception {
        String name = (String) body.get("hire");
        List<String> rented = hires.get(name);
        if (rented == null) {
            int free = hasNoCapacity || Boolean.TRUE.equals(body.get("loaners")) ? 0 : Math.max(0, capacity - workers.size());
            int number = Math.min(Math.min(free, mostPerRental), ((Number) body.get("number")).intValue());
            if (number == 0) {
                record.add("cloud refused " + body + " no capacity");
                return Http.reply(503, Map.of("error", "no capacity"));
            }
            rented = new ArrayList<>();
            for (int i = 0; i < number; i++) rented.add(add(false).name);
            hires.put(name, rented);
            record.add("cloud rented " + body + " -> " + rented);
        }
        return Http.reply(200, Map.of("spindles", rented));
    }

    /** The list is as old as the settings say. */
    private synchronized Http.Response list(Http.Request r) {
        double at = record.now() - settings.listLag;
        for (Worker w : workers.values()) {
            if (w.createdAt <= Math.max(0, at)) listed.put(w.name, w.listEntry(at));
        }
        listed.keySet().removeIf(n -> deletedAt.getOrDefault(n, Double.MAX_VALUE) <= at);
        int page = Math.min(500, Integer.parseInt(r.param("page", "500")));
        List<Object> rows = new ArrayList<>();
        boolean more = false;
        for (Map<String, Object> row : listed.tailMap(r.param("after", ""), false).values()) {
            if (rows.size() == page) {
                more = true;
                break;
            }
            rows.add(row);
        }
        return Http.reply(200, Map.of("spindles", rows, "has_next", more));
    }

    synchronized boolean isFaulty(String machine) {
        if (isFirstMachineFaulty && faultyMachine.isEmpty()) faultyMachine = machine;
        return faultyMachine.equals(machine);
    }

    void hasImage(String task, String machine, long attempt) {
        synchronized (onMachines) {
            List<String> on = onMachines.computeIfAbsent(task, t -> new ArrayList<>());
            starts.merge(task.substring(0, task.lastIndexOf('/')), 1, Integer::sum);
            if (!on.isEmpty()) {
                String line = "task " + task + " starts on " + machine + " (try " + attempt + ") while it is on " + on;
                ranTwice.add(line);
                record.add("RAN_TWICE " + line);
            }
            on.add(machine);
        }
    }

    void isGone(String task, String machine) {
        synchronized (onMachines) {
            List<String> on = onMachines.get(task);
            if (on != null) on.remove(machine);
        }
    }

    /** The tasks of the job that are on machines, each with one of its machines. */
    Map<Integer, String> running(String job) {
        Map<Integer, String> running = new TreeMap<>();
        synchronized (onMachines) {
            onMachines.forEach((task, on) -> {
                if (task.startsWith(job + "/") && !on.isEmpty()) running.put(Integer.parseInt(task.substring(job.length() + 1)), on.get(0));
            });
        }
        return running;
    }

    @Override
    public void close() {
        workers.values().forEach(Worker::delete);
        cloud.close();
    }
}
