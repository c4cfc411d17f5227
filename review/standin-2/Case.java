import java.nio.file.Path;

/** What all cases share: the stand-ins, the three controllers, and the exit code. */
abstract class Case {
    Settings settings;
    Record record;
    Store store;
    Fleet fleet;
    Controllers controllers;
    Users users;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    abstract Settings settings();

    /** Returns one of the three exit codes. */
    abstract int play() throws Exception;

    static final class CouldNotRun extends Exception {
        CouldNotRun(String why) {
            super(why);
        }
    }

    void require(boolean holds, String what) throws CouldNotRun {
        if (!holds) throw new CouldNotRun(what);
    }

    /** Starts the controllers and {@code machines} machines, and waits until a controller leads and has heard them. */
    String begin(int machines) throws Exception {
        for (int i = 0; i < machines; i++) fleet.add(true);
        fleet.capacity = machines;
        controllers.startAll();
        String leader = controllers.awaitLeader(store, 30);
        require(leader != null, "no controller leads");
        record.add("leader " + leader);
        Thread.sleep(6000);
        return store.leader();
    }

    static void run(Case c, String folder) {
        int code = COULD_NOT_RUN;
        Thread limit =
            new Thread(() -> {
                try {
                    Thread.sleep(117_000);
                } catch (InterruptedException e) {
                    return;
                }
                System.out.println("the time is over: the case could not run");
                Runtime.getRuntime().exit(COULD_NOT_RUN);
            });
        limit.setDaemon(true);
        limit.start();
        try {
            c.settings = c.settings();
            c.record = new Record(Path.of(folder, "record.txt"));
            c.record.add("trouble " + (c.trouble ? "on" : "off"));
            c.store = new Store(c.settings);
            c.fleet = new Fleet(c.settings, c.record);
            c.controllers = new Controllers(c.settings, c.record, c.store, c.fleet);
            c.users = new Users(c.fleet, c.record, c.controllers.api);
            code = c.play();
        } catch (CouldNotRun e) {
            c.record.say("could not run: " + e.getMessage());
        } catch (Throwable e) {
            e.printStackTrace();
        }
        if (c.record != null) {
            c.record.say(code == BROKEN ? "the rule was broken" : code == HELD ? "the rule held" : "the case could not run");
        }
        Runtime.getRuntime().exit(code);
    }
}
