import java.util.List;
import java.util.Map;

/** A copy of an old start must not start a task on a machine that is back, while the task runs on another one. */
final class LateCopy extends Case {
    private static final String JOB = "run-000001";

    public static void main(String[] args) {
        run(new LateCopy(), args[0]);
    }

    @Override
    Settings settings() {
        Settings s = Settings.mills();
        s.initialSize = 4;
        s.stateRps = 800;
        s.stateWriteRps = 300;
        s.cloudRps = 10;
        s.report = 4;
        s.lease = 22;
        s.cancel = 52;
        s.sockets = 3325;
        return s;
    }

    private String awaitRunning(String otherThan) throws Exception {
        for (int i = 0; i < 300; i++) {
            String machine = fleet.running(JOB).get(0);
            if (machine != null && !machine.equals(otherThan)) return machine;
            Thread.sleep(100);
        }
        return null;
    }

    @SuppressWarnings("unchecked")
    private static boolean starts(Map<String, Object> body, String task) {
        for (Map<String, Object> c : (List<Map<String, Object>>) body.getOrDefault("orders", List.of())) {
            if (c.get("verb").equals("run") && c.get("thread").equals(task)) return true;
        }
        return false;
    }

    @Override
    int play() throws Exception {
        begin(4);
        Map<String, Object> job = Users.job(JOB, "order-match", settings.team, "daemon", "critical", 1, 5.0, 1.0, 19.0);
        job.put("expected_s", 0.0);
        // A replica on each machine, so that none is returned as idle.
        Map<String, Object> other = Users.job("run-000002", "order-match", settings.team, "daemon", "critical", 4, 5.0, 1.0, 19.0);
        other.put("expected_s", 0.0);
        require(users.submit(other, 1e9), "the first service was not accepted");
        for (int i = 0; i < 100 && fleet.running("run-000002").size() < 4; i++) Thread.sleep(100);
        // The machine that gets the task is faulty: the task fails there, and is placed on another one.
        fleet.isFirstMachineFaulty = true;
        require(users.submit(job, 1e9), "the service was not accepted");
        String first = awaitRunning("");
        require(first != null, "the task did not start");
        record.add("the task runs on " + first);
        String second = awaitRunning(first);
        require(second != null, "the task was not placed anew");
        record.add("the task failed on " + first + " and runs on " + second);
        Thread.sleep(3000);
        Worker worker = fleet.workers.get(first);
        require(worker != null, first + " was returned");
        Map<String, Object> start = null;
        for (Map<String, Object> body : worker.carriedOut) if (starts(body, JOB + "/0")) start = body;
        require(start != null, "no start was carried out");
        if (trouble) {
            worker.restart(0.3);
            record.add(first + " stops, and is back after 0.3 s");
            while (!worker.isUp()) Thread.sleep(5);
            record.add("a copy of a request that " + first + " carried out arrives there: " + start + " -> " + worker.repeat(start));
        }
        Thread.sleep(10_000);
        synchronized (fleet.ranTwice) {
            record.say("starts of a task that ran on another machine: " + fleet.ranTwice.size());
            return fleet.ranTwice.isEmpty() ? HELD : BROKEN;
        }
    }
}
