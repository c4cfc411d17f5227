import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** The state service, with one listener for each controller, so that one of them can be cut off. */
final class Store {
    private static final int KEPT_CHANGES = 10_000;
    private static final int TOTAL_BYTES = 64 * 1024;

    static final class Entry {
        Object data;
        long mark;
        Long lease;
    }

    private static final class Change {
        final String key;
        final Object data;
        final long mark;

        Change(String key, Object data, long mark) {
            this.key = key;
            this.data = data;
            this.mark = mark;
        }
    }

    private static final class Rate {
        final double perSecond;
        double left;
        long at = System.nanoTime();

        Rate(double perSecond) {
            this.perSecond = perSecond;
            this.left = perSecond;
        }

        boolean take(double n) {
            long now = System.nanoTime();
            left = Math.min(perSecond, left + (now - at) / 1e9 * perSecond);
            at = now;
            if (left < n) return false;
            left -= n;
            return true;
        }
    }

    /** Called after each transaction that was executed, under the store's lock. */
    interface Listener {
        void executed(List<Map<String, Object>> changes);
    }

    final TreeMap<String, Entry> entries = new TreeMap<>();
    private final ArrayList<Change> log = new ArrayList<>();
    private long droppedUpTo;
    private long revision;
    private long lastLease;
    private final Map<Long, long[]> leases = new ConcurrentHashMap<>();
    private final Map<String, Http.Server> servers = new LinkedHashMap<>();
    private final Map<String, Long> cutUntil = new ConcurrentHashMap<>();
    private final Settings settings;
    private final Rate requests;
    private final Rate writes;
    volatile Listener listener = c -> {};
    /** How many transactions were refused for their size, and the largest one. */
    volatile int tooLarge;
    volatile int largest;
    volatile long changedBytes;
    volatile int changes;

    Store(Settings settings) throws Exception {
        this.settings = settings;
        requests = new Rate(settings.stateRps);
        writes = new Rate(settings.stateWriteRps);
        for (String node : Settings.NODES) servers.put(node, new Http.Server(r -> serve(node, r)));
        Thread t = new Thread(this::endLeases, "leases");
        t.setDaemon(true);
        t.start();
    }

    String address(String node) {
        return servers.get(node).address();
    }

    /** Holds back all that passes between the node and the store until {@link #joinAgain}. */
    void cut(String node) {
        cutUntil.put(node, Long.MAX_VALUE);
    }

    void joinAgain(String node) {
        synchronized (cutUntil) {
            cutUntil.remove(node);
            cutUntil.notifyAll();
        }
    }

    private void awaitLink(String node) throws InterruptedException {
        synchronized (cutUntil) {
            while (cutUntil.containsKey(node)) cutUntil.wait();
        }
    }

    synchronized String leader() {
        Entry e = entries.get("g/lead");
        return e == null ? null : (String) ((Map<?, ?>) e.data).get("node");
    }

    private Http.Response serve(String node, Http.Request r) throws Exception {
        awaitLink(node);
        Thread.sleep(4);
        Http.Response answer = execute(r);
        awaitLink(node);
        return answer;
    }

    private Http.Response execute(Http.Request r) throws Exception {
        synchronized (this) {
            if (!requests.take(1)) return Http.reply(429, Map.of());
        }
        if (r.path.equals("/follow")) return follow(r);
        synchronized (this) {
            if (r.path.equals("/multi")) return multi(Cbor.decodeMap(r.body));
            if (r.path.equals("/leases")) return newLease(Cbor.decodeMap(r.body));
            if (r.path.startsWith("/leases/")) {
                long id = Long.parseLong(r.path.split("/")[2]);
                long[] lease = leases.get(id);
                if (lease == null) return Http.reply(404, Map.of());
                if (r.method.equals("DELETE")) end(id); else lease[1] = System.nanoTime() + lease[0];
                return Http.reply(200, Map.of());
            }
            if (r.path.equals("/store")) return list(r);
            return get(r.path.substring("/store/".length()));
        }
    }

    private Http.Response get(String key) {
        Entry e = entries.get(key);
        if (e == null) return Http.reply(404, Map.of("ledger", revision));
        return Http.reply(200, row(key, e));
    }

    private static Map<String, Object> row(String key, Entry e) {
        Map<String, Object> row = new LinkedHashMap<>();
        row.put("key", key);
        row.put("data", e.data);
        row.put("mark", e.mark);
        if (e.lease != null) row.put("tenure", e.lease);
        return row;
    }

    private Http.Response list(Http.Request r) {
        String prefix = r.param("starts", "");
        String after = r.param("after", "");
        int page = Math.min(1000, Integer.parseInt(r.param("page", "1000")));
        List<Object> rows = new ArrayList<>();
        int bytes = 0;
        boolean more = false;
        for (Map.Entry<String, Entry> e : entries.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).entrySet()) {
            if (!e.getKey().startsWith(prefix)) break;
            Map<String, Object> row = row(e.getKey(), e.getValue());
            bytes += Cbor.jsonSize(row);
            if (rows.size() == page || bytes > 512 * 1024) {
                more = true;
                break;
            }
            rows.add(row);
        }
        return Http.reply(200, Map.of("rows", rows, "has_next", more, "ledger", revision));
    }

    private Http.Response follow(Http.Request r) throws Exception {
        String prefix = r.param("starts", "");
        long after = Long.parseLong(r.param("after", "0"));
        long end = System.nanoTime() + Math.min(60_000, Long.parseLong(r.param("wait_ms", "0"))) * 1_000_000L;
        List<Object> found = new ArrayList<>();
        long upTo;
        synchronized (this) {
            while (true) {
                if (after < droppedUpTo) return Http.reply(410, Map.of());
                for (int i = firstAfter(after); i < log.size(); i++) {
                    Change c = log.get(i);
                    if (!c.key.startsWith(prefix)) continue;
                    Map<String, Object> m = new LinkedHashMap<>();
                    m.put(c.data == null ? "remove" : "set", c.key);
                    if (c.data != null) m.put("data", c.data);
                    m.put("mark", c.mark);
                    found.add(m);
                }
                upTo = revision;
                long left = (end - System.nanoTime()) / 1_000_000L;
                if (!found.isEmpty() || left <= 0) break;
                wait(left);
            }
        }
        return Http.reply(200, Map.of("ledger", upTo, "log", found));
    }

    private int firstAfter(long after) {
        int low = 0;
        int high = log.size();
        while (low < high) {
            int mid = (low + high) / 2;
            if (log.get(mid).mark <= after) low = mid + 1; else high = mid;
        }
        return low;
    }

    @SuppressWarnings("unchecked")
    private Http.Response multi(Map<String, Object> body) {
        List<Map<String, Object>> guards = (List<Map<String, Object>>) body.getOrDefault("guards", List.of());
        List<Map<String, Object>> apply = (List<Map<String, Object>>) body.getOrDefault("apply", List.of());
        int size = Cbor.jsonSize(body);
        largest = Math.max(largest, size);
        boolean fits = apply.size() <= settings.stateOps && guards.size() <= settings.stateOps * 4 && size <= TOTAL_BYTES;
        for (Map<String, Object> c : apply) {
            if (c.containsKey("set") && Cbor.jsonSize(c.get("data")) > settings.stateValueKb * 1024) fits = false;
        }
        if (!fits) {
            tooLarge++;
            return Http.reply(400, Map.of("error", "too large"));
        }
        if (!apply.isEmpty() && !writes.take(apply.size())) return Http.reply(429, Map.of());
        for (Map<String, Object> c : apply) {
            Object lease = c.get("tenure");
            if (lease != null && !leases.containsKey(((Number) lease).longValue())) {
                return Http.reply(400, Map.of("error", "no such lease"));
            }
        }
        List<Object> failed = new ArrayList<>();
        for (Map<String, Object> g : guards) {
            Entry e = entries.get((String) g.get("key"));
            if ((e == null ? 0 : e.mark) != ((Number) g.get("mark")).longValue()) failed.add(g.get("key"));
        }
        if (!failed.isEmpty()) return Http.reply(409, Map.of("failed", failed, "ledger", revision));
        if (apply.isEmpty()) return Http.reply(200, Map.of("ledger", revision));
        revision++;
        for (Map<String, Object> c : apply) {
            if (c.containsKey("set")) {
                Entry e = new Entry();
                e.data = c.get("data");
                e.mark = revision;
                e.lease = c.get("tenure") == null ? null : ((Number) c.get("tenure")).longValue();
                entries.put((String) c.get("set"), e);
                append(new Change((String) c.get("set"), e.data, revision));
            } else {
                remove((String) c.get("remove"));
            }
        }
        changedBytes += size;
        changes += apply.size();
        listener.executed(apply);
        notifyAll();
        return Http.reply(200, Map.of("ledger", revision));
    }

    private void remove(String key) {
        if (entries.remove(key) != null) append(new Change(key, null, revision));
    }

    private void append(Change c) {
        log.add(c);
        if (log.size() > KEPT_CHANGES + 1000) {
            droppedUpTo = log.get(log.size() - KEPT_CHANGES - 1).mark;
            log.subList(0, log.size() - KEPT_CHANGES).clear();
        }
    }

    private Http.Response newLease(Map<String, Object> body) {
        long life = ((Number) body.get("life_ms")).longValue() * 1_000_000L;
        leases.put(++lastLease, new long[] {life, System.nanoTime() + life});
        return Http.reply(200, Map.of("tenure", lastLease));
    }

    private void end(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        entries.forEach((k, e) -> {
            if (e.lease != null && e.lease == id) keys.add(k);
        });
        if (keys.isEmpty()) return;
        revision++;
        keys.forEach(this::remove);
        notifyAll();
    }

    private void endLeases() {
        while (true) {
            try {
                Thread.sleep(30);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                for (Map.Entry<Long, long[]> e : new ArrayList<>(leases.entrySet())) {
                    if (System.nanoTime() > e.getValue()[1]) end(e.getKey());
                }
            }
        }
    }
}
