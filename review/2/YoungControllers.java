import java.io.IOException;
import java.util.Map;

/**
 * A job is cancelled while its machine has no network; then the state service is out for longer than cancel_s, all
 * controllers end, and later one of them ends again. With TROUBLE=0 nothing of this happens, and the job is cancelled.
 */
final class YoungControllers {
    private static final double BACK_S = 8;

    public static void main(String[] args) {
        Bed.run(args, new Settings(), YoungControllers::run);
    }

    private static void run(Bed bed) throws Exception {
        bed.controllers.startAll();
        bed.fleet.start(9, false);
        bed.controllers.awaitReady(bed.store, 12);
        bed.fleet.awaitLeader(6);
        Map<String, Object> match =
            Jobs.spec("run-000001", "order-match", "secretaria-tecnica", "daemon", "critical", 1, 5, 1, 19, 0.2, false, 0);
        Jobs.Job job = bed.jobs.add(match, 0);
        if (!bed.users.submit(job)) throw new IllegalStateException("the job was not accepted");
        until(Log.now() + 20, () -> bed.jobs.tasksOn("run-000001") == 1);
        Wire.sleep(3);
        bed.users.ask(job);
        Worker worker = bed.fleet.workers().stream().filter(it -> it.has("run-000001/0")).findFirst().orElseThrow();
        until(Log.now() + 5, () -> Log.now() - worker.leaseFrom() < 0.3);
        if (bed.trouble) worker.setCut(true);
        if (!bed.users.cancel(job)) throw new IllegalStateException("the cancellation was not confirmed");
        double told = job.cancelledAt;
        if (bed.trouble) disrupt(bed, worker, told);
        while (Log.now() < told + bed.settings.cancelS + 3) {
            Wire.sleep(2);
            bed.log.add("test", String.format("%.1f s after the user was told: tasks on machines: %d", Log.now() - told, bed.jobs.tasksOn("run-000001")));
        }
    }

    private static void disrupt(Bed bed, Worker worker, double told) throws IOException {
        bed.store.setOutage(true);
        bed.log.add("store", "out for all from now on");
        for (String name : Controllers.NAMES) bed.controllers.kill(name);
        at(told + BACK_S);
        bed.controllers.startAll();
        at(told + BACK_S + 2);
        worker.setCut(false);
        at(told + 19);
        bed.controllers.kill("bobbin-2");
        at(told + 19 + BACK_S);
        bed.controllers.start("bobbin-2");
    }

    private static void at(double time) {
        while (Log.now() < time) Wire.sleep(0.02);
    }

    private static void until(double limit, java.util.function.BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            if (Log.now() > limit) throw new IllegalStateException("the job did not come to run");
            Wire.sleep(0.02);
        }
    }
}
