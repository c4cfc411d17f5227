
import java.util.Map;

/** An accepted array of thousands of small tasks, which the fleet has room for, has to run. */
final class LargeArray extends Case {
    private static final int MACHINES = 20;
    private static final double WAIT_SECONDS = 75;

    public static void main(String[] args) {
        run(new LargeArray(), args[0]);
    }

    @Override
    Settings settings() {
        Settings s = Settings.mills();
        s.initialSize = MACHINES;
        return s;
    }

    @Override
    int play() throws Exception {
        begin(MACHINES);
        int threads = trouble ? 9000 : 1000;
        Map<String, Object> large = Users.job("run-000001", "scan", settings.team, "batch", "standard", threads, 0.032, 0.0, 0.1);
        require(users.submit(large, 20), "the array was not accepted");
        double acceptedAt = record.now();
        Thread.sleep(10_000);
        // A second job, to show that the controllers place other work meanwhile, or that they do not.
        Map<String, Object> small = Users.job("run-000002", "scan", settings.team, "batch", "standard", 4, 1.0, 0.0, 1.0);
        require(users.submit(small, 5), "the small array was not accepted");
        while (record.now() - acceptedAt < WAIT_SECONDS) {
            users.ask("run-000002");
            if ("done".equals(users.stage("run-000001"))) break;
            Thread.sleep(3000);
        }
        int starts = fleet.starts.getOrDefault("run-000001", 0);
        record.say("accepted " + threads + " tasks; started within " + (int) (record.now() - acceptedAt) + " s: " + starts + ", done: "
            + fleet.done.getOrDefault("run-000001", 0) + "; of the small job's 4 tasks done: " + fleet.done.getOrDefault("run-000002", 0));
        record.say("transactions refused for their size: " + store.tooLarge + ", largest transaction: " + store.largest + " bytes");
        for (String node : Settings.NODES) controllers.log(node, "too-large").forEach(l -> record.add(node + " log: " + l));
        return starts == 0 ? BROKEN : HELD;
    }
}
