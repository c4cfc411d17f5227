import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A task that runs must not be started on another machine when the leader crashes while a large array grows. */
final class MovedPlacement extends Case {
    private static final String JOB = "run-000001";
    private static final int FIRST = 17;
    private static final int SECOND = 16;
    private static final int THIRD = 5;
    private static final int PARTLY = 5;
    private static final int MACHINES = PARTLY + FIRST + SECOND + 2 * THIRD;
    private static final int THREADS = PARTLY * 3 + (FIRST + SECOND) * 160 - 80;
    private final CountDownLatch isMissing = new CountDownLatch(1);
    private volatile double missingAt;
    private volatile double longest;
    private volatile Set<Integer> missing = Set.of();

    public static void main(String[] args) {
        run(new MovedPlacement(), args[0]);
    }

    @Override
    Settings settings() {
        Settings s = Settings.clinics();
        s.initialSize = MACHINES;
        s.stateNext = "[settings.state.next]\nrps = 100.0\nwrite_rps = 15.0\nvalue_kb = 2.0\ntxn_ops = 4\n\n";
        return s;
    }

    /** The tasks of the job that the stored record and its parts place on a machine. */
    private Set<Integer> stored() {
        Set<Integer> tasks = new HashSet<>();
        Store.Entry e = store.entries.get("g/j/" + JOB);
        if (e == null) return tasks;
        Map<?, ?> data = (Map<?, ?>) e.data;
        addPlacements(data, tasks);
        Map<?, ?> sealed = (Map<?, ?>) data.get("sealed");
        List<?> parts = sealed == null || sealed.get("shelves") == null ? List.of() : (List<?>) sealed.get("shelves");
        for (Object part : parts) {
            Store.Entry p = store.entries.get("g/p/" + JOB + "/" + part);
            if (p != null) addPlacements((Map<?, ?>) p.data, tasks);
        }
        return tasks;
    }

    private static void addPlacements(Map<?, ?> data, Set<Integer> tasks) {
        Map<?, ?> on = (Map<?, ?>) data.get("on");
        if (on == null) return;
        for (Object numbers : on.values()) {
            List<?> list = (List<?>) numbers;
            for (int i = 0; i < list.size(); i += 2) tasks.add(((Number) list.get(i)).intValue());
        }
    }

    /** The keys that a transaction changed, and how many tasks each places. */
    private static String describe(List<Map<String, Object>> changes) {
        StringBuilder text = new StringBuilder();
        for (Map<String, Object> c : changes) {
            String key = (String) c.getOrDefault("set", c.get("remove"));
            text.append(c.containsKey("set") ? " set " : " remove ").append(key);
            if (!key.startsWith("g/j/" + JOB) && !key.startsWith("g/p/") || !c.containsKey("set")) continue;
            Set<Integer> tasks = new HashSet<>();
            addPlacements((Map<?, ?>) c.get("data"), tasks);
            text.append(" (").append(tasks.size()).append(" tasks)");
        }
        return text.toString();
    }

    private void check() {
        Set<Integer> running = new HashSet<>(fleet.running(JOB).keySet());
        running.removeAll(stored());
        double now = record.now();
        if (!running.isEmpty() && missing.isEmpty()) {
            missingAt = now;
            record.add("the store places these running tasks on no machine: " + running);
            isMissing.countDown();
        }
        if (running.isEmpty() && !missing.isEmpty()) {
            longest = Math.max(longest, now - missingAt);
            record.add("the store places all running tasks again, after " + (now - missingAt) + " s");
        }
        missing = running;
    }

    @Override
    int play() throws Exception {
        begin(MACHINES);
        // Urgent jobs fill the machines; the large array gets what is left, and the rest as two of them end.
        double[][] urgent = {{FIRST, 48.0, 10}, {SECOND, 48.0, 24}, {THIRD, 48.0, 27.2}, {THIRD, 48.0, 27.9}, {PARTLY, 47.1, 1e9}};
        for (int i = 0; i < urgent.length; i++) {
            Map<String, Object> other = Users.job("run-00000" + (i + 2), "clip", settings.team, "batch", "urgent", (int) urgent[i][0], urgent[i][1], 0.0, 4.0);
            require(users.submit(other, urgent[i][2]), "an urgent job was not accepted");
        }
        Thread.sleep(3000);
        Map<String, Object> job = Users.job(JOB, "refit", settings.team, "batch", "idle", THREADS, 0.3, 0.0, 0.5);
        job.put("expected_s", 600.0);
        require(users.submit(job, 1e9), "the array was not accepted");
        double until = record.now() + 20;
        while (record.now() < until && fleet.running(JOB).size() < PARTLY * 3 + FIRST * 160) Thread.sleep(50);
        record.add("running " + fleet.running(JOB).size());
        synchronized (store) {
            store.listener = changes -> {
                record.add("stored" + describe(changes));
                check();
            };
        }
        if (trouble) {
            boolean seen = isMissing.await(30, TimeUnit.SECONDS);
            if (!seen) record.add("no moment came in which a running task had no stored place");
            controllers.kill(store.leader());
            record.add("at the kill, running tasks without a stored place: " + missing);
        } else {
            Thread.sleep(30_000);
        }
        Thread.sleep(25_000);
        record.say("running " + fleet.running(JOB).size() + ", longest time without a stored place " + longest + " s");
        synchronized (fleet.ranTwice) {
            record.say("starts of a task that ran on another machine: " + fleet.ranTwice.size());
            return fleet.ranTwice.isEmpty() ? HELD : BROKEN;
        }
    }
}
