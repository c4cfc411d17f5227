import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** What the users have submitted and were told, and which tasks are on which machines; checks the rules. */
final class Jobs {
    static final class Job {
        final Map<String, Object> spec;
        final double runS;
        volatile double acceptedAt = -1;
        volatile double askedToCancelAt = -1;
        volatile double cancelledAt = -1;
        volatile double doneAt = -1;
        volatile double lastAnsweredAt = -1;
        final Set<Integer> done = ConcurrentHashMap.newKeySet();
        volatile int starts = 0;
        volatile double firstStartAt = -1;
        volatile double lastStartAt = -1;
        volatile double lastTaskDoneAt = -1;
        /** The last moment at which the job was not waiting, or no machine had room for it. */
        volatile double notLeftWaitingAt = -1;

        Job(Map<String, Object> spec, double runS) {
            this.spec = spec;
            this.runS = runS;
        }

        String uid() {
            return (String) spec.get("uid");
        }

        int threads() {
            return (int) Wire.number(spec.get("threads"));
        }

        boolean isDaemon() {
            return "daemon".equals(spec.get("weave"));
        }

        @SuppressWarnings("unchecked")
        List<String> awaits() {
            Object awaits = spec.get("awaits");
            return awaits == null ? List.of() : (List<String>) awaits;
        }
    }

    private final Settings settings;
    private final Log log;
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    /** Machines with the task, from the moment at which it has its image. */
    private final Map<String, Set<String>> machinesOf = new HashMap<>();
    private final Map<String, double[]> use = new HashMap<>();
    final List<String> broken = new ArrayList<>();

    Jobs(Settings settings, Log log) {
        this.settings = settings;
        this.log = log;
    }

    /** A description as a user writes it. */
    static Map<String, Object> spec(
        String uid, String lot, String crew, String weave, String urgency, int threads, double cpus, double gpus,
        double memory, double sizeGb, boolean loaners, double expectedS) {
        Map<String, Object> spec = new LinkedHashMap<>();
        spec.put("uid", uid);
        spec.put("lot", lot);
        spec.put("crew", crew);
        spec.put("weave", weave);
        spec.put("urgency", urgency);
        spec.put("threads", threads);
        spec.put("cpus", cpus);
        spec.put("accelerators", gpus);
        spec.put("memory_gb", memory);
        spec.put("pattern", lot + "-img");
        spec.put("size_gb", sizeGb);
        spec.put("frames", null);
        spec.put("hall", null);
        spec.put("same_place", false);
        spec.put("apart", false);
        spec.put("loaners", loaners);
        spec.put("expected_s", expectedS);
        spec.put("knot_s", 0.0);
        spec.put("knotting_s", 0.0);
        spec.put("due_s", null);
        return spec;
    }

    Job add(Map<String, Object> spec, double runS) {
        Job job = new Job(spec, runS);
        jobs.put(job.uid(), job);
        return job;
    }

    synchronized void violate(String rule, String what) {
        broken.add(rule + ": " + what);
        log.add("RULE", rule + " broken: " + what);
    }

    synchronized boolean isBroken(String rule) {
        return broken.stream().anyMatch(it -> it.startsWith(rule + ":"));
    }

    /** A task has its image and is on its machine from now on. */
    synchronized void taskOn(String machine, String key) {
        Job job = jobs.get(key.substring(0, key.lastIndexOf('/')));
        Set<String> machines = machinesOf.computeIfAbsent(key, it -> new HashSet<>());
        if (!machines.isEmpty() && !machines.contains(machine)) violate("ran_twice", key + " starts on " + machine + " while on " + machines);
        machines.add(machine);
        job.starts++;
        if (job.firstStartAt < 0) job.firstStartAt = Log.now();
        job.lastStartAt = Log.now();
        String team = (String) job.spec.get("crew");
        double[] used = use.computeIfAbsent(team, it -> new double[1]);
        used[0] += Wire.amount(job.spec.get("accelerators"));
        double limit = settings.gpusMax[settings.teams.indexOf(team)];
        if (limit > 0 && used[0] > limit + 1e-6) violate("quota", team + " uses " + used[0] + " of " + limit + " with " + key);
        if (job.cancelledAt >= 0) {
            log.add(machine, key + " starts " + (Log.now() - job.cancelledAt) + " s after its cancellation was confirmed");
            if (Log.now() - job.cancelledAt > settings.cancelS) violate("ran_cancelled", key + " starts on " + machine);
        }
        for (String needed : job.awaits()) {
            Job before = jobs.get(needed);
            if (before != null && before.done.size() < before.threads()) violate("too_early", key + " starts before " + needed);
        }
    }

    synchronized void taskOff(String machine, String key) {
        Set<String> machines = machinesOf.get(key);
        if (machines == null || !machines.remove(machine)) return;
        Job job = jobs.get(key.substring(0, key.lastIndexOf('/')));
        use.get((String) job.spec.get("crew"))[0] -= Wire.amount(job.spec.get("accelerators"));
    }

    void taskDone(String key) {
        int slash = key.lastIndexOf('/');
        Job job = jobs.get(key.substring(0, slash));
        job.lastTaskDoneAt = Log.now();
        job.done.add(Integer.parseInt(key.substring(slash + 1)));
    }

    /** Tasks of confirmed cancellations that are still on a machine after cancel_s. */
    synchronized void checkCancelled() {
        double now = Log.now();
        machinesOf.forEach(
            (key, machines) -> {
                Job job = jobs.get(key.substring(0, key.lastIndexOf('/')));
                if (machines.isEmpty() || job.cancelledAt < 0 || now - job.cancelledAt <= settings.cancelS) return;
                String what = key + " is on " + machines;
                if (broken.stream().noneMatch(it -> it.equals("ran_cancelled: " + what))) violate("ran_cancelled", what);
            });
    }

    /**
     * Checks that no accepted job is left waiting for 90 s: some of its tasks are neither done nor on a machine, none of
     * its tasks is started, and all the time a machine that fits has room. Teams with limits are not checked.
     */
    void checkWaiting(List<Worker> workers) {
        double now = Log.now();
        for (Job job : jobs.values()) {
            if (job.acceptedAt < 0 || job.askedToCancelAt >= 0) continue;
            if (settings.gpusMax[settings.teams.indexOf((String) job.spec.get("crew"))] > 0) continue;
            boolean waits = job.done.size() + tasksOn(job.uid()) < job.threads();
            boolean room = workers.stream().anyMatch(it -> it.hasRoomFor(job));
            if (!waits || !room) job.notLeftWaitingAt = now;
            double since = Math.max(Math.max(job.acceptedAt, job.lastStartAt), job.notLeftWaitingAt);
            if (now - since <= 90 || isBroken("left_waiting " + job.uid())) continue;
            violate(
                "left_waiting " + job.uid(),
                "accepted, " + job.done.size() + " of " + job.threads() + " tasks done and " + tasksOn(job.uid())
                    + " on machines; no task was started for 90 s while a machine that fits had room");
        }
    }

    synchronized long tasksOn(String uid) {
        return machinesOf.entrySet().stream().filter(it -> it.getKey().startsWith(uid + "/") && !it.getValue().isEmpty()).count();
    }

    /** Checks an answer about a job: a question that was sent at the given time. */
    void answered(Job job, Wire.Answer answer, double sentAt, String node) {
        if (answer == null) return;
        if (answer.status() == 404 && job.acceptedAt >= 0 && job.acceptedAt < sentAt) violate("forgotten", job.uid() + ": 404 from " + node);
        if (answer.status() != 200 && answer.status() != 201) return;
        job.lastAnsweredAt = Log.now();
        String stage = (String) answer.body().get("stage");
        if ("done".equals(stage)) {
            if (job.done.size() < job.threads()) violate("not_done", job.uid() + " is called done with " + job.done.size() + " tasks done");
            if (job.cancelledAt >= 0 && job.cancelledAt < sentAt) violate("went_back", job.uid() + ": done after aborted, from " + node);
            if (job.doneAt < 0) job.doneAt = Log.now();
        } else if ("aborted".equals(stage)) {
            if (job.doneAt >= 0 && job.doneAt < sentAt) violate("went_back", job.uid() + ": aborted after done, from " + node);
            if (job.askedToCancelAt < 0 && job.awaits().isEmpty()) violate("went_back", job.uid() + ": aborted, nobody cancelled it, from " + node);
            if (job.cancelledAt < 0) job.cancelledAt = Log.now();
        } else {
            if (job.doneAt >= 0 && job.doneAt < sentAt) violate("went_back", job.uid() + ": " + stage + " after done, from " + node);
            if (job.cancelledAt >= 0 && job.cancelledAt < sentAt) violate("went_back", job.uid() + ": " + stage + " after aborted, from " + node);
        }
    }
}
