import java.util.Map;
import java.util.Random;

/** Users behind the load balancer: submit, ask and cancel, each request at a healthy controller. */
final class Users {
    private final Controllers controllers;
    private final Jobs jobs;
    private final Log log;
    private final Random random = new Random(7);

    Users(Controllers controllers, Jobs jobs, Log log) {
        this.controllers = controllers;
        this.jobs = jobs;
        this.log = log;
    }

    private synchronized String anyNode() {
        for (int i = 0; i < 6; i++) {
            String name = Controllers.NAMES.get(random.nextInt(Controllers.NAMES.size()));
            Wire.Answer ready = Wire.call("GET", controllers.api(name), "/ready", null, 1);
            if (ready != null && ready.status() == 200) return name;
        }
        return Controllers.NAMES.get(0);
    }

    /** Submits the job and retries for up to 60 s. Returns whether it was accepted. */
    boolean submit(Jobs.Job job) {
        double begin = Log.now();
        while (Log.now() - begin < 60) {
            String node = anyNode();
            double sentAt = Log.now();
            Wire.Answer answer = Wire.call("POST", controllers.api(node), "/api/jobs", job.spec, 5);
            log.add("user", "submit " + job.uid() + " to " + node + " -> " + text(answer));
            jobs.answered(job, answer, sentAt, node);
            if (answer != null && (answer.status() == 200 || answer.status() == 201)) {
                job.acceptedAt = Log.now();
                return true;
            }
            if (answer != null && (answer.status() == 400 || answer.status() == 422)) return false;
            Wire.sleep(1);
        }
        return false;
    }

    Wire.Answer ask(Jobs.Job job) {
        String node = anyNode();
        double sentAt = Log.now();
        Wire.Answer answer = Wire.call("GET", controllers.api(node), "/api/jobs/" + job.uid(), null, 2);
        log.add("user", "ask " + job.uid() + " at " + node + " -> " + text(answer));
        jobs.answered(job, answer, sentAt, node);
        return answer;
    }

    /** Cancels the job and repeats the request until it is answered, for up to 60 s. */
    boolean cancel(Jobs.Job job) {
        job.askedToCancelAt = Log.now();
        double begin = Log.now();
        while (Log.now() - begin < 60) {
            String node = anyNode();
            double sentAt = Log.now();
            Wire.Answer answer = Wire.call("POST", controllers.api(node), "/api/jobs/" + job.uid() + "/withdraw", Map.of(), 5);
            log.add("user", "cancel " + job.uid() + " at " + node + " -> " + text(answer));
            jobs.answered(job, answer, sentAt, node);
            if (answer != null && answer.status() == 200) return true;
            Wire.sleep(1);
        }
        return false;
    }

    static String text(Wire.Answer answer) {
        return answer == null ? "no response" : answer.status() + " " + Wire.json(answer.body());
    }
}
