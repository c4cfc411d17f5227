import java.util.Map;

/** A controller that was cut off from the state service alone must go on when the cut is over. */
final class LongCut extends Case {
    private static final int MACHINES = 20;
    private static final int ARRAYS = 4;
    private static final double CUT_SECONDS = 42;

    public static void main(String[] args) {
        run(new LongCut(), args[0]);
    }

    @Override
    Settings settings() {
        Settings s = Settings.mills();
        s.initialSize = MACHINES;
        return s;
    }

    @Override
    int play() throws Exception {
        fleet.runSpread = 1.6;
        String leader = begin(MACHINES);
        for (int i = 1; i <= ARRAYS; i++) {
            Map<String, Object> array = Users.job("run-00000" + i, "scan", settings.team, "batch", "standard", 40_000, 0.1, 0.0, 0.3);
            array.put("expected_s", 8.0);
            require(users.submit(array, 8), "an array was not accepted");
        }
        Thread.sleep(10_000);
        leader = store.leader();
        String cut = Settings.NODES.get((Settings.NODES.indexOf(leader) + 1) % 3);
        record.add("leader " + leader);
        long bytes = store.changedBytes;
        int changes = store.changes;
        if (trouble) {
            store.cut(cut);
            record.add(cut + " is cut off from the state service");
        }
        for (double end = record.now() + CUT_SECONDS; record.now() < end;) {
            Thread.sleep(5000);
            record.add("changes since the cut: " + (store.changes - changes) + ", bytes in JSON: " + (store.changedBytes - bytes)
                + ", leader " + store.leader() + ", largest report " + fleet.largestReport);
        }
        if (trouble) {
            store.joinAgain(cut);
            record.add(cut + " reaches the state service again");
        }
        double joined = record.now();
        Integer code = null;
        while (record.now() - joined < 20 && code == null) {
            Thread.sleep(500);
            code = controllers.exitCode(cut);
        }
        for (String node : Settings.NODES) {
            Integer ended = controllers.exitCode(node);
            record.say(node + (ended == null ? " runs" : " ended by itself with code " + ended));
            if (ended != null) controllers.log(node, "").stream().skip(Math.max(0, controllers.log(node, "").size() - 3)).forEach(l -> record.add(node + " log: " + l));
        }
        record.say("changes during the cut: " + (store.changes - changes) + ", bytes in JSON: " + (store.changedBytes - bytes));
        return code == null ? HELD : BROKEN;
    }
}
