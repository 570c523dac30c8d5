import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store: items, watches, conditional transactions and leases. It loses nothing. */
final class Store {

    private static final int PAGE_ITEMS = 500;

    private final TreeMap<String, Map<String, Object>> items = new TreeMap<>();

    private final List<Map<String, Object>> events = new ArrayList<>();

    private final Map<Long, long[]> leases = new HashMap<>();

    private long revision = 100;

    private long lastLease = 70_000;

    /** The host that last wrote under a condition; it is the one that acts. */
    private String lastConditionalWriter = "";

    Store() {
        Thread thread = new Thread(this::expire, "store-leases");
        thread.setDaemon(true);
        thread.start();
    }

    synchronized String lastConditionalWriter() {
        return lastConditionalWriter;
    }

    synchronized void put(String key, Map<String, Object> value) {
        revision++;
        set(key, encode(Json.write(value)), 0);
        notifyAll();
    }

    synchronized void delete(String key) {
        if (items.containsKey(key)) {
            revision++;
            remove(key);
            notifyAll();
        }
    }

    Http.Answer handle(String host, Http.Request request) throws InterruptedException {
        Thread.sleep(4);
        String path = request.path();
        Map<String, Object> body = Json.object(request.body());
        if (path.equals("/kv-key")) {
            return get(request.query().get("key"));
        } else if (path.equals("/kv-range")) {
            return range(request.query().get("prefix"), request.query().getOrDefault("after", ""));
        } else if (path.equals("/kv-watch")) {
            return watch(
                    request.query().get("prefix"),
                    Long.parseLong(request.query().get("after")),
                    Long.parseLong(request.query().get("waitMs")));
        } else if (path.equals("/kv-txn")) {
            return transaction(host, body);
        } else if (path.equals("/kv-lease")) {
            return grant(Json.number(body, "ttlMs", 0));
        } else if (path.startsWith("/kv-keep/")) {
            return keep(Long.parseLong(path.substring("/kv-keep/".length())));
        } else if (path.startsWith("/kv-lease-end/")) {
            return end(Long.parseLong(path.substring("/kv-lease-end/".length())));
        }
        return new Http.Answer(404, "{}");
    }

    private synchronized Http.Answer get(String key) {
        Map<String, Object> item = items.get(key);
        if (item == null) {
            return new Http.Answer(404, "{}");
        }
        Map<String, Object> answer = new LinkedHashMap<>(item);
        answer.put("asOf", revision);
        return ok(answer);
    }

    private synchronized Http.Answer range(String prefix, String after) {
        List<Object> page = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Map<String, Object>> entry : items.tailMap(after, false).entrySet()) {
            if (entry.getKey().startsWith(prefix)) {
                more = page.size() == PAGE_ITEMS;
                if (more) {
                    break;
                }
                page.add(entry.getValue());
            }
        }
        return ok(Json.map("items", page, "hasMore", more, "asOf", revision));
    }

    private synchronized Http.Answer watch(String prefix, long after, long waitMillis) throws InterruptedException {
        long until = Clock.millis() + waitMillis;
        while (true) {
            List<Object> found = new ArrayList<>();
            for (Map<String, Object> event : events) {
                if ((Long) event.get("revision") > after && ((String) event.get("key")).startsWith(prefix)) {
                    found.add(event);
                }
            }
            long left = until - Clock.millis();
            if (!found.isEmpty() || left <= 0) {
                return ok(Json.map("events", found, "asOf", revision));
            }
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Answer transaction(String host, Map<String, Object> body) {
        List<Object> conditions = (List<Object>) body.getOrDefault("precondition", List.of());
        List<Object> puts = (List<Object>) body.getOrDefault("puts", List.of());
        List<Object> deletes = (List<Object>) body.getOrDefault("deletes", List.of());
        if (conditions.size() + puts.size() + deletes.size() > 32) {
            return new Http.Answer(400, "{}");
        }
        boolean holds = true;
        List<Object> actual = new ArrayList<>();
        for (Object each : conditions) {
            Map<String, Object> condition = (Map<String, Object>) each;
            Map<String, Object> item = items.get(condition.get("key"));
            holds &= (item == null ? 0 : (Long) item.get("revision")) == Json.number(condition, "revision", 0);
            if (item != null) {
                actual.add(item);
            }
        }
        if (!holds) {
            return new Http.Answer(412, Json.write(Json.map("items", actual)));
        }
        for (Object each : puts) {
            long lease = Json.number((Map<String, Object>) each, "lease", 0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Http.Answer(404, "{}");
            }
        }
        if (!conditions.isEmpty()) {
            lastConditionalWriter = host;
        }
        revision++;
        for (Object each : puts) {
            Map<String, Object> put = (Map<String, Object>) each;
            set((String) put.get("key"), (String) put.get("value"), Json.number(put, "lease", 0));
        }
        deletes.forEach(key -> remove((String) key));
        notifyAll();
        return ok(Json.map("revision", revision));
    }

    private synchronized Http.Answer grant(long ttlMillis) {
        lastLease++;
        leases.put(lastLease, new long[] {ttlMillis, Clock.millis() + ttlMillis});
        return ok(Json.map("lease", lastLease, "ttlMs", ttlMillis));
    }

    private synchronized Http.Answer keep(long id) {
        long[] lease = leases.get(id);
        if (lease == null) {
            return new Http.Answer(404, "{}");
        }
        lease[1] = Clock.millis() + lease[0];
        return ok(Json.map("ttlMs", lease[0]));
    }

    private synchronized Http.Answer end(long id) {
        if (leases.remove(id) == null) {
            return new Http.Answer(404, "{}");
        }
        removeKeysOf(id);
        return ok(Json.map());
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                for (Long id : List.copyOf(leases.keySet())) {
                    if (leases.get(id)[1] <= Clock.millis()) {
                        leases.remove(id);
                        removeKeysOf(id);
                    }
                }
            }
            Clock.pause(20);
        }
    }

    private void removeKeysOf(long lease) {
        List<String> keys = new ArrayList<>();
        items.forEach((key, item) -> {
            if ((Long) item.get("lease") == lease) {
                keys.add(key);
            }
        });
        if (!keys.isEmpty()) {
            revision++;
            keys.forEach(this::remove);
            notifyAll();
        }
    }

    private void set(String key, String value, long lease) {
        Map<String, Object> former = items.get(key);
        Map<String, Object> item = Json.map(
                "key", key,
                "value", value,
                "revision", revision,
                "created", former == null ? revision : former.get("created"),
                "lease", lease);
        items.put(key, item);
        events.add(item);
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            events.add(Json.map("key", key, "revision", revision, "tombstone", true));
        }
    }

    private static String encode(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Http.Answer ok(Map<String, Object> body) {
        return new Http.Answer(200, Json.write(body));
    }
}
