import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The state service: strongly consistent, with leases, watches and the limits of the pages. `outage` answers 503 to all
 * requests; open watches wait on.
 */
final class Store {
    private record Entry(Map<String, Object> data, long mark, long tenure) {}

    private record Change(String key, Map<String, Object> data, long mark) {}

    /** A bucket that holds one second's worth. */
    private static final class Bucket {
        final double rate;
        double available;
        long at = System.nanoTime();

        Bucket(double rate) {
            this.rate = rate;
            this.available = rate;
        }

        boolean take(double count) {
            long now = System.nanoTime();
            available = Math.min(rate, available + (now - at) / 1e9 * rate);
            at = now;
            if (available < count) return false;
            available -= count;
            return true;
        }
    }

    private static final int KEPT_CHANGES = 10_000;
    private static final int MAX_TRANSACTION_BYTES = 64 * 1024;
    private static final int MAX_PAGE_BYTES = 512 * 1024;
    private final int valueBytes;
    private final int txnOps;
    private final Bucket requests;
    private final Bucket writes;
    private final Log log;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayList<Change> changes = new ArrayList<>();
    private long firstKept = 0;
    private final Map<Long, double[]> leases = new HashMap<>();
    private long ledger = 0;
    private long lastTenure = 0;
    volatile boolean outage = false;
    /** Transactions that were refused for their size or their number of changes. */
    volatile int tooLarge = 0;
    volatile int throttled = 0;
    private final HttpServer server;

    Store(Settings settings, Log log) throws IOException {
        this.valueBytes = (int) (settings.valueKb * 1024);
        this.txnOps = settings.txnOps;
        this.requests = new Bucket(settings.rps);
        this.writes = new Bucket(settings.writeRps);
        this.log = log;
        this.server = Wire.serve(this::handle);
        Thread expiry = new Thread(this::expireLeases, "leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    synchronized void setOutage(boolean on) {
        outage = on;
        if (!on) {
            double now = Log.now();
            for (double[] lease : leases.values()) lease[1] = now + lease[0];
            notifyAll();
        }
    }

    synchronized Map<String, Object> get(String key) {
        Entry entry = entries.get(key);
        return entry == null ? null : entry.data();
    }

    String leader() {
        Map<String, Object> record = get("g/lead");
        return record == null ? null : (String) record.get("node");
    }

    private void expireLeases() {
        while (true) {
            Wire.sleep(0.02);
            synchronized (this) {
                if (outage) continue;
                double now = Log.now();
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> { if (now > lease[1] + 0.02) ended.add(id); });
                ended.forEach(this::endLease);
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        entries.forEach((key, entry) -> { if (entry.tenure() == id) keys.add(key); });
        if (keys.isEmpty()) return;
        ledger++;
        keys.forEach(this::remove);
        notifyAll();
    }

    private void remove(String key) {
        if (entries.remove(key) != null) addChange(new Change(key, null, ledger));
    }

    private void addChange(Change change) {
        changes.add(change);
        if (changes.size() > KEPT_CHANGES) {
            firstKept = changes.get(changes.size() - KEPT_CHANGES - 1).mark();
            changes.subList(0, changes.size() - KEPT_CHANGES).clear();
        }
    }

    private Wire.Answer handle(String method, String path, Map<String, String> query, byte[] body) throws Exception {
        Wire.sleep(0.003);
        if (outage) return Wire.answer(503, "error", "trouble");
        synchronized (this) {
            if (!requests.take(1)) {
                throttled++;
                return Wire.answer(429, "error", "too many requests");
            }
        }
        if (path.equals("/multi")) return transact(Wire.decode(body));
        if (path.equals("/follow")) return follow(query);
        if (path.equals("/store")) return list(query);
        if (path.startsWith("/store/")) return item(path.substring("/store/".length()));
        if (path.equals("/leases")) return grant(Wire.decode(body));
        if (path.startsWith("/leases/")) return lease(method, path);
        return Wire.answer(400, "error", "malformed");
    }

    private synchronized Wire.Answer item(String key) {
        Entry entry = entries.get(key);
        if (entry == null) return Wire.answer(404, "ledger", ledger);
        return new Wire.Answer(200, row(key, entry), null);
    }

    private Map<String, Object> row(String key, Entry entry) {
        Map<String, Object> row = Wire.map("key", key, "data", entry.data(), "mark", entry.mark());
        if (entry.tenure() != 0) row.put("tenure", entry.tenure());
        return row;
    }

    private synchronized Wire.Answer list(Map<String, String> query) {
        String prefix = query.getOrDefault("starts", "");
        String after = query.getOrDefault("after", "");
        int page = Math.min(1000, Integer.parseInt(query.getOrDefault("page", "1000")));
        List<Object> rows = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Entry> entry : entries.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) break;
            if (entry.getKey().compareTo(after) <= 0) continue;
            Map<String, Object> row = row(entry.getKey(), entry.getValue());
            int size = Wire.jsonBytes(row);
            if (rows.size() >= page || bytes + size > MAX_PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += size;
            rows.add(row);
        }
        return Wire.answer(200, "rows", rows, "has_next", more, "ledger", ledger);
    }

    private Wire.Answer transact(Map<String, Object> transaction) {
        List<Map<String, Object>> guards = Wire.maps(transaction.get("guards"));
        List<Map<String, Object>> apply = Wire.maps(transaction.get("apply"));
        int bytes = Wire.jsonBytes(transaction);
        String problem = null;
        if (apply.size() > txnOps) problem = "more than " + txnOps + " puts and deletes";
        if (guards.size() > 4 * txnOps) problem = "more than " + 4 * txnOps + " conditions";
        if (bytes > MAX_TRANSACTION_BYTES) problem = "the transaction has more than 64 KiB in total";
        for (Map<String, Object> change : apply) {
            if (change.get("set") != null && Wire.jsonBytes(change.get("data")) > valueBytes) {
                problem = "a value has more than " + valueBytes + " bytes";
            }
        }
        if (problem != null) {
            tooLarge++;
            log.add("store", "400 to a transaction of " + bytes + " bytes, " + apply.size() + " changes: " + problem);
            return Wire.answer(400, "error", problem);
        }
        synchronized (this) {
            if (!writes.take(apply.size())) {
                throttled++;
                return Wire.answer(429, "error", "too many changes");
            }
            for (Map<String, Object> change : apply) {
                Object tenure = change.get("tenure");
                if (tenure != null && !leases.containsKey(Wire.number(tenure))) {
                    return Wire.answer(400, "error", "no such lease");
                }
            }
            List<String> failed = new ArrayList<>();
            for (Map<String, Object> guard : guards) {
                Entry entry = entries.get((String) guard.get("key"));
                if ((entry == null ? 0 : entry.mark()) != Wire.number(guard.get("mark"))) failed.add((String) guard.get("key"));
            }
            if (!failed.isEmpty()) return Wire.answer(409, "failed", failed, "ledger", ledger);
            if (!apply.isEmpty()) apply(apply);
            return Wire.answer(200, "ledger", ledger);
        }
    }

    @SuppressWarnings("unchecked")
    private void apply(List<Map<String, Object>> apply) {
        ledger++;
        for (Map<String, Object> change : apply) {
            String removed = (String) change.get("remove");
            if (removed != null) {
                remove(removed);
                continue;
            }
            String key = (String) change.get("set");
            Map<String, Object> data = (Map<String, Object>) change.get("data");
            entries.put(key, new Entry(data, ledger, Wire.number(change.get("tenure"))));
            addChange(new Change(key, data, ledger));
        }
        notifyAll();
    }

    private Wire.Answer follow(Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("starts", "");
        long after = Long.parseLong(query.getOrDefault("after", "0"));
        double until = Log.now() + Math.min(60_000, Long.parseLong(query.getOrDefault("wait_ms", "0"))) / 1000.0;
        List<Object> found = new ArrayList<>();
        long upTo;
        synchronized (this) {
            while (true) {
                if (after < firstKept) return Wire.answer(410, "error", "too old");
                if (!outage) collect(prefix, after, found);
                double rest = until - Log.now();
                if (!outage && (!found.isEmpty() || rest <= 0)) break;
                wait(Math.max(1, outage ? 50 : (long) (rest * 1000)));
            }
            upTo = ledger;
        }
        return Wire.answer(200, "ledger", upTo, "log", found);
    }

    private void collect(String prefix, long after, List<Object> found) {
        int first = changes.size();
        while (first > 0 && changes.get(first - 1).mark() > after) first--;
        for (Change change : changes.subList(first, changes.size())) {
            if (!change.key().startsWith(prefix)) continue;
            found.add(
                change.data() == null
                    ? Wire.map("remove", change.key(), "mark", change.mark())
                    : Wire.map("set", change.key(), "data", change.data(), "mark", change.mark()));
        }
    }

    private synchronized Wire.Answer grant(Map<String, Object> body) {
        double life = Wire.number(body.get("life_ms")) / 1000.0;
        leases.put(++lastTenure, new double[] {life, Log.now() + life});
        return Wire.answer(200, "tenure", lastTenure);
    }

    private synchronized Wire.Answer lease(String method, String path) {
        String[] parts = path.split("/");
        long id = Long.parseLong(parts[2]);
        double[] lease = leases.get(id);
        if (lease == null) return Wire.answer(404);
        if (method.equals("DELETE")) endLease(id); else lease[1] = Log.now() + lease[0];
        return Wire.answer(200);
    }
}
