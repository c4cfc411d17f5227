import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One machine's worker. */
final class Worker {
    private static final int BODY_BYTES = 64 * 1024;

    private static final class Task {
        final String thread;
        final long attempt;
        String stage = "pulling";
        String cause;
        boolean stored;
        boolean hadImage;
        double imageAt;
        double endAt = Double.MAX_VALUE;
        String endCause;

        Task(String thread, long attempt) {
            this.thread = thread;
            this.attempt = attempt;
        }

        String job() {
            return thread.substring(0, thread.lastIndexOf('/'));
        }
    }

    final String name;
    final double createdAt;
    private volatile double upAt;
    private final Fleet fleet;
    private final Settings settings;
    private final Http.Server server;
    private final List<Task> tasks = new ArrayList<>();
    private final List<String> images = new ArrayList<>();
    private long session = 1;
    private long sequence;
    private long token;
    private double leaseFrom;
    private double lastReport;
    private double nextReport;
    private boolean hasChanged;
    private String node;
    private volatile boolean isDeleted;
    /** The direct commands that were carried out. */
    final List<Map<String, Object>> carriedOut = new java.util.concurrent.CopyOnWriteArrayList<>();

    Worker(Fleet fleet, String name, double createdAt, double bootSeconds) throws Exception {
        this.fleet = fleet;
        this.name = name;
        this.settings = fleet.settings;
        this.createdAt = createdAt;
        this.upAt = createdAt + bootSeconds;
        this.leaseFrom = upAt;
        this.nextReport = upAt + (bootSeconds == 0 ? fleet.random.nextDouble() * settings.report : 0.05);
        this.node = Settings.NODES.get(fleet.random.nextInt(3));
        this.server = new Http.Server(this::serve);
        Thread t = new Thread(null, this::run, name, 256 * 1024);
        t.setDaemon(true);
        t.start();
    }

    private double now() {
        return fleet.record.now();
    }

    Map<String, Object> listEntry(double at) {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("uid", name);
        m.put("addr", server.address());
        m.put("frame", settings.typeName);
        m.put("hall", settings.zone);
        m.put("loaners", false);
        m.put("stage", at < upAt ? "booting" : "running");
        m.put("held_s", Math.max(0.0, at - createdAt));
        return m;
    }

    private synchronized Map<String, Object> status() {
        Map<String, Object> m = new LinkedHashMap<>();
        m.put("spindle", name);
        m.put("addr", server.address());
        m.put("frame", settings.typeName);
        m.put("hall", settings.zone);
        m.put("loaners", false);
        m.put("shift", session);
        m.put("stitch", ++sequence);
        m.put("baton", token);
        m.put("recall_s", null);
        List<Object> threads = new ArrayList<>();
        for (Task t : tasks) {
            Map<String, Object> row = new LinkedHashMap<>();
            row.put("thread", t.thread);
            row.put("try", t.attempt);
            row.put("stage", t.stage);
            if (t.cause != null) row.put("cause", t.cause);
            if (t.stored) row.put("stored", true);
            threads.add(row);
        }
        m.put("threads", threads);
        return m;
    }

    private void run() {
        try {
            while (!isDeleted) {
                Thread.sleep(20);
                if (now() < upAt) continue;
                step();
                boolean isDue;
                synchronized (this) {
                    isDue = now() >= nextReport || hasChanged && now() - lastReport >= 0.5;
                }
                if (isDue) report();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void report() throws InterruptedException {
        Map<String, Object> sent;
        double sentAt = now();
        long sentSession;
        synchronized (this) {
            sent = status();
            sentSession = session;
            hasChanged = false;
            lastReport = sentAt;
            nextReport = sentAt + settings.report * (0.75 + 0.5 * fleet.random.nextDouble());
        }
        fleet.largestReport = Math.max(fleet.largestReport, Cbor.jsonSize(sent));
        String address = fleet.nodes.get(node);
        Http.Response r = Http.call(address, "POST", "/checkin", sent, 4000);
        if (isDeleted) return;
        if (r != null && r.status == 200) {
            synchronized (this) {
                Map<String, Object> body = r.map();
                Object baton = body.get("baton");
                if (baton == null || ((Number) baton).longValue() < token || sentSession != session) return;
                leaseFrom = sentAt;
                execute(body);
            }
            return;
        }
        String foreman = r != null && r.status == 421 ? (String) r.map().get("foreman") : null;
        if (foreman != null && !foreman.equals(node) && Settings.NODES.contains(foreman)) {
            node = foreman;
            nextReport = Math.min(nextReport, now() + 0.5 * fleet.random.nextDouble());
        } else {
            node = Settings.NODES.get((Settings.NODES.indexOf(node) + 1) % 3);
            nextReport = Math.min(nextReport, now() + 1);
        }
    }

    /** Lets the lease run out, images arrive and tasks end. */
    private synchronized void step() {
        double now = now();
        if (now - leaseFrom > settings.lease) {
            fleet.record.add(name + " lease ran out, " + tasks.size() + " tasks killed");
            endAll();
            session++;
            leaseFrom = now;
            hasChanged = true;
        }
        for (Task t : tasks) {
            if (t.stage.equals("pulling") && now >= t.imageAt) begin(t, now);
            if (t.stage.equals("waiting")) meet(t, now);
            if (!t.stage.equals("ended") && now >= t.endAt) end(t, t.endCause);
        }
    }

    private void begin(Task t, double now) {
        Map<String, Object> job = fleet.jobs.get(t.job());
        String image = (String) job.get("pattern");
        if (!images.contains(image)) images.add(image);
        t.hadImage = true;
        hasChanged = true;
        fleet.hasImage(t.thread, name, t.attempt);
        if (job.get("weave").equals("gang")) {
            t.stage = "waiting";
            t.endAt = now + settings.gangWait;
            t.endCause = "incomplete";
            Gangs.arrive(t.job(), t.attempt, t.thread, now);
        } else {
            t.stage = "running";
            double share = 1 + fleet.runSpread * (fleet.random.nextDouble() - 0.5);
            t.endAt = now + fleet.runSeconds.getOrDefault(t.job(), 1e9) * share;
            t.endCause = "done";
            if (fleet.isFaulty(name)) {
                t.endAt = now + 2;
                t.endCause = "error";
            }
        }
    }

    private void meet(Task t, double now) {
        int size = ((Number) fleet.jobs.get(t.job()).get("threads")).intValue();
        Double since = Gangs.completeSince(t.job(), t.attempt, size, now);
        if (since == null) return;
        t.stage = "running";
        t.endAt = since + fleet.runSeconds.getOrDefault(t.job(), 1e9);
        t.endCause = "done";
        hasChanged = true;
    }

    private void end(Task t, String cause) {
        if (t.hadImage) fleet.isGone(t.thread, name);
        if (t.stage.equals("waiting")) Gangs.leave(t.job(), t.attempt, t.thread);
        t.stage = "ended";
        t.cause = cause;
        hasChanged = true;
        if (cause.equals("done")) fleet.done.merge(t.job(), 1, Integer::sum);
    }

    private void endAll() {
        for (Task t : tasks) if (!t.stage.equals("ended")) end(t, "killed");
        tasks.clear();
    }

    /** The machine stops with all that is on it, and is back after a moment, with a worker that begins anew. */
    synchronized void restart(double seconds) {
        endAll();
        images.clear();
        session = 1;
        sequence = 0;
        token = 0;
        upAt = now() + seconds;
        leaseFrom = upAt;
        nextReport = upAt;
        hasChanged = false;
    }

    /** A copy of a request that this worker has carried out arrives. Returns the status with which it is answered, or 0. */
    int repeat(Map<String, Object> body) {
        Http.Response answer = serve(new Http.Request("POST", "/do", Cbor.encode(body)));
        return answer == null ? 0 : answer.status;
    }

    boolean isUp() {
        return now() >= upAt;
    }

    private synchronized Http.Response serve(Http.Request r) {
        if (isDeleted || now() < upAt) return null;
        step();
        if (r.path.equals("/show")) return Http.reply(200, status());
        Map<String, Object> body = Cbor.decodeMap(r.body);
        int size = Cbor.jsonSize(body);
        fleet.largestCommand = Math.max(fleet.largestCommand, size);
        if (size > BODY_BYTES) {
            fleet.refusedCommands++;
            fleet.record.add(name + " refused a /do of " + size + " bytes with 400");
            return Http.reply(400, Map.of("error", "the body holds more than 64 KiB"));
        }
        if (body.get("baton") == null || body.get("shift") == null) return Http.reply(400, Map.of());
        long baton = ((Number) body.get("baton")).longValue();
        if (baton < token || ((Number) body.get("shift")).longValue() != session) return Http.reply(409, status());
        execute(body);
        carriedOut.add(body);
        return Http.reply(200, status());
    }

    @SuppressWarnings("unchecked")
    private void execute(Map<String, Object> body) {
        long baton = ((Number) body.get("baton")).longValue();
        if (baton > token) {
            token = baton;
            hasChanged = true;
        }
        for (Map<String, Object> c : (List<Map<String, Object>>) body.getOrDefault("orders", List.of())) {
            String thread = (String) c.get("thread");
            long attempt = ((Number) c.get("try")).longValue();
            Task known = null;
            for (Task t : tasks) if (t.thread.equals(thread) && t.attempt == attempt) known = t;
            switch ((String) c.get("verb")) {
                case "run":
                    if (known == null) start(thread, attempt);
                    break;
                case "stop":
                    if (known != null && !known.stage.equals("ended")) stop(known, ((Number) c.get("wind_down_s")).doubleValue());
                    break;
                case "clear":
                    if (known != null && known.stage.equals("ended")) tasks.remove(known);
                    break;
                default:
                    break;
            }
        }
    }

    private void start(String thread, long attempt) {
        Task t = new Task(thread, attempt);
        Map<String, Object> job = fleet.jobs.get(t.job());
        String refusal = job == null ? "unknown" : null;
        double cpus = 0;
        double gpus = 0;
        double memory = 0;
        for (Task other : tasks) {
            if (other.stage.equals("ended")) continue;
            if (other.thread.equals(thread)) refusal = "busy";
            Map<String, Object> spec = fleet.jobs.get(other.job());
            cpus += (Double) spec.get("cpus");
            gpus += (Double) spec.get("accelerators");
            memory += (Double) spec.get("memory_gb");
        }
        if (refusal == null) {
            boolean fits =
                cpus + (Double) job.get("cpus") <= settings.cpus + 1e-6
                    && gpus + (Double) job.get("accelerators") <= settings.gpus + 1e-6
                    && memory + (Double) job.get("memory_gb") <= settings.memory + 1e-6;
            if (!fits) refusal = "full";
        }
        tasks.add(t);
        hasChanged = true;
        if (refusal != null) {
            t.stage = "ended";
            t.cause = refusal;
            fleet.record.add(name + " refused " + thread + " try " + attempt + ": " + refusal);
            return;
        }
        boolean isCached = images.contains((String) job.get("pattern"));
        t.imageAt = now() + (isCached ? 0 : (Double) job.get("size_gb") / settings.fetch);
    }

    private void stop(Task t, double windDown) {
        Map<String, Object> job = fleet.jobs.get(t.job());
        double saving = (Double) job.get("knotting_s");
        boolean saves = (Double) job.get("knot_s") > 0 && windDown >= saving && t.stage.equals("running");
        if (saves) {
            t.stage = "flushing";
            t.stored = true;
            t.endAt = now() + saving;
            t.endCause = "stopped";
            hasChanged = true;
        } else if (!(t.stage.equals("flushing") && windDown > 0)) {
            t.stored = false;
            end(t, "stopped");
        }
    }

    synchronized void delete() {
        isDeleted = true;
        endAll();
        server.close();
    }

    /** The tasks of one attempt of a gang that wait for the others. */
    private static final class Gangs {
        private static final Map<String, List<String>> WAITING = new LinkedHashMap<>();
        private static final Map<String, Double> SINCE = new LinkedHashMap<>();

        static synchronized void arrive(String job, long attempt, String thread, double now) {
            WAITING.computeIfAbsent(job + "#" + attempt, k -> new ArrayList<>()).add(thread);
        }

        static synchronized void leave(String job, long attempt, String thread) {
            List<String> waiting = WAITING.get(job + "#" + attempt);
            if (waiting != null) waiting.remove(thread);
        }

        static synchronized Double completeSince(String job, long attempt, int size, double now) {
            String key = job + "#" + attempt;
            List<String> waiting = WAITING.getOrDefault(key, List.of());
            if (waiting.size() >= size) SINCE.putIfAbsent(key, now);
            return SINCE.get(key);
        }
    }
}
