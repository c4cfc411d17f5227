import java.util.Map;

/** An accepted gang has to run when the cloud hands out its machines a few at a time. */
final class ReturnedMachines extends Case {
    private static final int MACHINES = 4;
    private static final int GANG = 16;
    private static final double WAIT_SECONDS = 100;

    public static void main(String[] args) {
        run(new ReturnedMachines(), args[0]);
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
        fleet.capacity = 40;
        if (trouble) fleet.mostPerRental = 3;
        Map<String, Object> gang = Users.job("run-000001", "loom-plan", settings.team, "gang", "urgent", GANG, 14.0, 2.0, 51.0);
        gang.put("same_place", true);
        gang.put("expected_s", 10.0);
        require(users.submit(gang, 10), "the gang was not accepted");
        double acceptedAt = record.now();
        String stage = "pending";
        while (record.now() - acceptedAt < WAIT_SECONDS && !stage.equals("done")) {
            Thread.sleep(2000);
            stage = users.stage("run-000001");
            record.add("machines: " + fleet.workers.size() + ", starts of the gang: " + fleet.starts.getOrDefault("run-000001", 0));
        }
        int starts = fleet.starts.getOrDefault("run-000001", 0);
        record.say("the gang is " + stage + " after " + (int) (record.now() - acceptedAt) + " s; its tasks started: " + starts + "; machines rented: "
            + fleet.rented() + ", returned: " + fleet.returned() + ", now: " + fleet.workers.size());
        return starts == 0 ? BROKEN : HELD;
    }
}
