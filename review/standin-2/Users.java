import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Users, with a load balancer that takes the next controller for each connection. */
final class Users {
    private final Fleet fleet;
    private final Record record;
    private final Map<String, String> api;
    private int next;

    Users(Fleet fleet, Record record, Map<String, String> api) {
        this.fleet = fleet;
        this.record = record;
        this.api = api;
    }

    private synchronized String node() {
        return Settings.NODES.get(next++ % 3);
    }

    static Map<String, Object> job(String uid, String lot, String team, String weave, String urgency, int threads, double cpus, double gpus,
        double memory) {
        Map<String, Object> j = new LinkedHashMap<>();
        j.put("uid", uid);
        j.put("lot", lot);
        j.put("crew", team);
        j.put("weave", weave);
        j.put("urgency", urgency);
        j.put("threads", threads);
        j.put("cpus", cpus);
        j.put("accelerators", gpus);
        j.put("memory_gb", memory);
        j.put("pattern", "img-" + lot);
        j.put("size_gb", 0.02);
        j.put("frames", null);
        j.put("hall", null);
        j.put("same_place", false);
        j.put("apart", false);
        j.put("loaners", false);
        j.put("expected_s", 60.0);
        j.put("knot_s", 0.0);
        j.put("knotting_s", 0.0);
        j.put("due_s", null);
        return j;
    }

    /** Submits the job, and repeats that as a user does. Returns whether it was accepted. */
    boolean submit(Map<String, Object> job, double runSeconds) throws Exception {
        String uid = (String) job.get("uid");
        fleet.jobs.put(uid, job);
        fleet.runSeconds.put(uid, runSeconds);
        double start = record.now();
        while (record.now() - start < 60) {
            String node = node();
            Http.Response r = Http.call(api.get(node), "POST", "/api/jobs", job, 5000);
            String answer = r == null ? "no answer" : r.status + " " + r.map();
            record.add("user: POST /api/jobs " + uid + " (threads " + job.get("threads") + ") at " + node + " -> " + answer);
            if (r != null && (r.status == 200 || r.status == 201)) return true;
            if (r != null && (r.status == 400 || r.status == 422)) return false;
            Thread.sleep(1000);
        }
        return false;
    }

    /** Asks for the job's state. Returns null if there was no answer with status 200 or 404. */
    Map<String, Object> ask(String uid) {
        String node = node();
        Http.Response r = Http.call(api.get(node), "GET", "/api/jobs/" + uid, null, 2000);
        record.add("user: GET " + uid + " at " + node + " -> " + (r == null ? "no answer" : r.status + " " + r.map()));
        if (r == null || r.status != 200 && r.status != 404) return null;
        Map<String, Object> m = new LinkedHashMap<>(r.map());
        if (r.status == 404) m.put("stage", "unknown");
        return m;
    }

    String stage(String uid) {
        Map<String, Object> m = ask(uid);
        return m == null ? "no answer" : (String) m.get("stage");
    }

    /** Asks about every second until the job has one of the stages or the time is over. */
    String await(String uid, List<String> stages, double seconds) throws Exception {
        double end = record.now() + seconds;
        String stage = "no answer";
        while (record.now() < end) {
            stage = stage(uid);
            if (stages.contains(stage)) return stage;
            Thread.sleep(1000);
        }
        return stage;
    }
}
