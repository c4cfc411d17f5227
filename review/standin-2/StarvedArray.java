import java.util.Map;

/** An accepted array has to run on machines that nothing uses, also while a gang waits for more machines than there are. */
final class StarvedArray extends Case {
    private static final int MACHINES = 9;
    private static final int GANG = 16;
    private static final double WAIT_SECONDS = 91;

    public static void main(String[] args) {
        run(new StarvedArray(), args[0]);
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
        if (!trouble) fleet.capacity = 3 * MACHINES;
        Map<String, Object> gang = Users.job("run-000001", "loom-plan", settings.team, "gang", "urgent", GANG, 14.0, 2.0, 51.0);
        gang.put("same_place", true);
        gang.put("expected_s", 20.0);
        require(users.submit(gang, 20), "the gang was not accepted");
        Thread.sleep(11_000);
        Map<String, Object> array = Users.job("run-000002", "defect-scan", settings.team, "batch", "standard", 4, 6.0, 1.0, 24.0);
        array.put("expected_s", 10.0);
        require(users.submit(array, 10), "the array was not accepted");
        double acceptedAt = record.now();
        String stage = "pending";
        while (record.now() - acceptedAt < WAIT_SECONDS && !stage.equals("done")) {
            Thread.sleep(3000);
            users.ask("run-000001");
            stage = users.stage("run-000002");
            record.add("machines: " + fleet.workers.size() + ", starts of the gang: " + fleet.starts.getOrDefault("run-000001", 0)
                + ", of the array: " + fleet.starts.getOrDefault("run-000002", 0));
        }
        int starts = fleet.starts.getOrDefault("run-000002", 0);
        record.say("the array is " + stage + " after " + (int) (record.now() - acceptedAt) + " s; its tasks started: " + starts + ", of the gang: "
            + fleet.starts.getOrDefault("run-000001", 0) + "; machines: " + fleet.workers.size());
        return starts == 0 ? BROKEN : HELD;
    }
}
