import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A worker: reports to one controller, runs arrays and services, keeps its lease and the highest token. */
final class Worker {
    private static final class Task {
        final String key;
        final long attempt;
        final Jobs.Job job;
        String stage = "pulling";
        String cause;
        double endsAt;

        Task(String key, long attempt, Jobs.Job job) {
            this.key = key;
            this.attempt = attempt;
            this.job = job;
        }
    }

    final String name;
    private final Fleet fleet;
    private final String hall;
    private final boolean loaners;
    private final Random random;
    /** By task and attempt. */
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    /** When the image is there. */
    private final Map<String, Double> images = new HashMap<>();
    private final HttpServer server;
    private long shift = 1;
    private long stitch = 0;
    private long baton = 0;
    private long reportedBaton = 0;
    private double batonChangedAt = -100;
    private double leaseFrom = Log.now();
    private boolean changed = false;
    private volatile boolean gone = false;
    /** Whether the machine has lost the network. Connections hang, and are reset when the network is back. */
    private volatile boolean cut = false;
    private int node;
    private String foreman;
    volatile int refusedReports = 0;
    volatile int expired = 0;

    Worker(String name, String hall, boolean loaners, Fleet fleet, long seed) throws IOException {
        this.name = name;
        this.hall = hall;
        this.loaners = loaners;
        this.fleet = fleet;
        this.random = new Random(seed);
        this.node = random.nextInt(Controllers.NAMES.size());
        this.server = Wire.serve(this::handle);
        thread(this::reportLoop);
        thread(this::tickLoop);
    }

    private void thread(Runnable body) {
        Thread thread = new Thread(body, name);
        thread.setDaemon(true);
        thread.start();
    }

    String addr() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    synchronized boolean has(String key) {
        return tasks.values().stream().anyMatch(it -> it.key.equals(key) && it.cause == null);
    }

    String hall() {
        return hall;
    }

    boolean loaners() {
        return loaners;
    }

    void setCut(boolean on) {
        fleet.log.add(name, on ? "loses the network" : "has the network again");
        cut = on;
    }

    /** Waits while the network is cut, for the given time at most. Returns whether it was cut. */
    private boolean waitWhileCut(double seconds) {
        if (!cut) return false;
        double until = Log.now() + seconds;
        while (cut && Log.now() < until) Wire.sleep(0.01);
        return true;
    }

    /** The machine is gone, and all on it. */
    void delete() {
        gone = true;
        server.stop(0);
        synchronized (this) {
            endAll();
        }
    }

    private void endAll() {
        for (Task task : tasks.values()) if (task.cause == null) fleet.jobs.taskOff(name, task.key);
        tasks.clear();
    }

    private void tickLoop() {
        while (!gone) {
            Wire.sleep(0.02);
            synchronized (this) {
                if (gone) return;
                double now = Log.now();
                if (now - leaseFrom > fleet.settings.leaseS) {
                    long lost = tasks.values().stream().filter(it -> it.cause == null).count();
                    if (lost > 0) fleet.log.add(name, "lease ran out, " + lost + " tasks killed");
                    expired++;
                    endAll();
                    shift++;
                    stitch = 0;
                    leaseFrom = now;
                    changed = true;
                }
                for (Task task : tasks.values()) progress(task.key, task, now);
            }
        }
    }

    private void progress(String key, Task task, double now) {
        if (task.stage.equals("pulling") && now >= images.get(image(task))) {
            task.stage = "running";
            task.endsAt = task.job.isDaemon() ? Double.MAX_VALUE : now + (isDone(key, task) ? 0 : task.job.runS);
            fleet.jobs.taskOn(name, key);
            changed = true;
        }
        if (task.stage.equals("running") && now >= task.endsAt) {
            fleet.jobs.taskDone(key);
            end(key, task, "done");
        }
    }

    private static boolean isDone(String key, Task task) {
        return task.job.done.contains(Integer.parseInt(key.substring(key.lastIndexOf('/') + 1)));
    }

    private static String image(Task task) {
        return (String) task.job.spec.get("pattern");
    }

    private void end(String key, Task task, String cause) {
        if (task.stage.equals("running")) fleet.jobs.taskOff(name, key);
        task.stage = "ended";
        task.cause = cause;
        changed = true;
    }

    private synchronized Map<String, Object> report() {
        List<Object> threads = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> thread = Wire.map("thread", task.key, "try", task.attempt, "stage", task.stage);
            if (task.cause != null) thread.put("cause", task.cause);
            threads.add(thread);
        }
        return Wire.map(
            "spindle", name, "addr", addr(), "frame", fleet.settings.frame, "hall", hall, "loaners", loaners,
            "shift", shift, "stitch", ++stitch, "baton", baton, "recall_s", null, "threads", threads);
    }

    private void reportLoop() {
        Wire.sleep(random.nextDouble() * fleet.settings.reportS);
        double lastSent = -100;
        double next = Log.now();
        while (!gone) {
            Wire.sleep(0.01);
            double now = Log.now();
            boolean due;
            synchronized (this) {
                boolean newBaton = baton > reportedBaton && now - batonChangedAt > fleet.settings.leaseS / 2;
                due = now >= next || (changed || newBaton) && now - lastSent >= 0.5;
                if (!due) continue;
                changed = false;
                if (newBaton) batonChangedAt = now;
            }
            lastSent = now;
            next = now + fleet.settings.reportS * (0.75 + random.nextDouble() / 2);
            Map<String, Object> report = report();
            synchronized (this) {
                reportedBaton = baton;
            }
            int bytes = Wire.jsonBytes(report);
            if (bytes > fleet.largestReport) fleet.largestReport = bytes;
            String name = foreman != null ? foreman : Controllers.NAMES.get(node);
            Wire.Answer answer =
                waitWhileCut(4) ? null : Wire.call("POST", fleet.controllers.api(name), "/checkin", report, 4);
            if (cut) answer = null;
            if (!gone) next = answered(name, report, now, answer, next);
        }
    }

    /** Handles the answer to a report; returns the time of the next one. */
    private double answered(String name, Map<String, Object> report, double sentAt, Wire.Answer answer, double next) {
        if (answer != null && answer.status() == 200) {
            take(report, sentAt, answer.body());
            return next;
        }
        if (answer != null && answer.status() == 421) {
            String named = (String) answer.body().get("foreman");
            if (named != null && Controllers.NAMES.contains(named) && !named.equals(name)) {
                foreman = named;
                node = Controllers.NAMES.indexOf(named);
                return Log.now() + random.nextDouble() * 0.5;
            }
        }
        if (answer != null && answer.status() == 400) {
            refusedReports++;
            fleet.log.add(this.name, "400 to a report of " + Wire.jsonBytes(report) + " bytes from " + name);
        }
        foreman = null;
        node = (Controllers.NAMES.indexOf(name) + 1) % Controllers.NAMES.size();
        return Log.now() + 1;
    }

    private synchronized void take(Map<String, Object> report, double sentAt, Map<String, Object> body) {
        if (Wire.number(report.get("shift")) != shift) return;
        if (body.get("baton") == null || Wire.number(body.get("baton")) < baton) return;
        see(Wire.number(body.get("baton")));
        leaseFrom = Math.max(leaseFrom, sentAt);
        for (Map<String, Object> order : Wire.maps(body.get("orders"))) execute(order);
    }

    private void see(long token) {
        if (token > baton) {
            baton = token;
        }
    }

    private void execute(Map<String, Object> order) {
        String key = (String) order.get("thread");
        long attempt = Wire.number(order.get("try"));
        String id = key + "#" + attempt;
        Task task = tasks.get(id);
        switch ((String) order.get("verb")) {
            case "run" -> {
                if (task == null) run(id, key, attempt);
            }
            case "stop" -> {
                if (task != null && task.cause == null) end(key, task, "stopped");
            }
            case "clear" -> {
                if (task != null && task.cause != null) {
                    tasks.remove(id);
                    changed = true;
                }
            }
            default -> { }
        }
    }

    private void run(String id, String key, long attempt) {
        Jobs.Job job = fleet.jobs.jobs.get(key.substring(0, key.lastIndexOf('/')));
        if (job == null) {
            fleet.jobs.violate("foreign_work", key + " was ordered, and nobody submitted it");
            return;
        }
        if (job.askedToCancelAt >= 0) fleet.log.add(name, "run " + key + " after its user asked to cancel it");
        boolean busy = has(key);
        Task task = new Task(key, attempt, job);
        tasks.put(id, task);
        changed = true;
        if (busy) {
            task.stage = "ended";
            task.cause = "busy";
            return;
        }
        if (!fits(job, task)) {
            task.stage = "ended";
            task.cause = "full";
            return;
        }
        double fetch = Wire.amount(job.spec.get("size_gb")) / fleet.settings.fetchGbPerS;
        images.putIfAbsent(image(task), Log.now() + fetch);
    }

    /** Whether the tasks on the machine leave room for one more task of the job. The new task may be listed already. */
    private boolean fits(Jobs.Job job, Task listed) {
        double cpus = Wire.amount(job.spec.get("cpus"));
        double gpus = Wire.amount(job.spec.get("accelerators"));
        double memory = Wire.amount(job.spec.get("memory_gb"));
        for (Task task : tasks.values()) {
            if (task.cause != null || task == listed) continue;
            cpus += Wire.amount(task.job.spec.get("cpus"));
            gpus += Wire.amount(task.job.spec.get("accelerators"));
            memory += Wire.amount(task.job.spec.get("memory_gb"));
        }
        Settings settings = fleet.settings;
        return cpus <= settings.cpus + 1e-6 && gpus <= settings.accelerators + 1e-6 && memory <= settings.memoryGb + 1e-6;
    }

    /** Whether the machine fits the job and has room for one of its tasks. */
    synchronized boolean hasRoomFor(Jobs.Job job) {
        if (gone || cut) return false;
        Object only = job.spec.get("hall");
        if (only != null && !only.equals(hall)) return false;
        if (loaners && !Boolean.TRUE.equals(job.spec.get("loaners"))) return false;
        return fits(job, null);
    }

    /** Whether the worker has heard of a leader. */
    synchronized boolean knowsLeader() {
        return baton > 0;
    }

    synchronized double leaseFrom() {
        return leaseFrom;
    }

    private Wire.Answer handle(String method, String path, Map<String, String> query, byte[] bytes) throws Exception {
        if (gone || waitWhileCut(3600)) return null;
        if (path.equals("/show")) return new Wire.Answer(200, report(), null);
        Map<String, Object> body = Wire.decode(bytes);
        int size = Wire.jsonBytes(body);
        if (size > Wire.MAX_BODY_BYTES) {
            fleet.refusedCommands++;
            fleet.log.add(name, "400 to commands of " + size + " bytes: " + Wire.maps(body.get("orders")).size() + " orders");
            return Wire.answer(400, "error", "the body has more than 64 KiB");
        }
        if (body.get("baton") == null || body.get("shift") == null) return Wire.answer(400);
        synchronized (this) {
            boolean current = Wire.number(body.get("baton")) >= baton && Wire.number(body.get("shift")) == shift;
            if (current) {
                see(Wire.number(body.get("baton")));
                for (Map<String, Object> order : Wire.maps(body.get("orders"))) execute(order);
            }
            return new Wire.Answer(current ? 200 : 409, report(), null);
        }
    }
}
