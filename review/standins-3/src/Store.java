import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** The platform's metadata store: items with revisions, leases, pages and watches. */
final class Store {

    private static final int PAGE = 500;

    private static final long HISTORY_MILLIS = 20_000;

    private final TreeMap<String, Item> items = new TreeMap<>();

    private final Map<Long, Lease> leases = new HashMap<>();

    private final List<Event> events = new ArrayList<>();

    private final ExecutorService threads = Executors.newCachedThreadPool(Daemon::thread);

    private HttpServer server;

    private long revision = 100;

    private long firstRevision = 100;

    private long lastLease = 70_000;

    Store() throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
        threads.execute(this::expire);
    }

    int port() {
        return server.getAddress().getPort();
    }

    synchronized void put(String key, String value) {
        revision++;
        write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void delete(String key) {
        revision++;
        remove(key);
    }

    /** Returns the value of a key as text, or null. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    /** Writes an item with the present revision. */
    private void write(String key, String value, long lease) {
        Item old = items.get(key);
        Item item = new Item(key, value, revision, old == null ? revision : old.created, lease);
        items.put(key, item);
        addEvent(new Event(Record.now(), revision, item.node()));
    }

    private void remove(String key) {
        if (items.remove(key) != null) {
            ObjectNode node = Json.object().put("key", key).put("revision", revision).put("tombstone", true);
            addEvent(new Event(Record.now(), revision, node));
        }
    }

    private void addEvent(Event event) {
        events.add(event);
        while (!events.isEmpty() && events.get(0).at < Record.now() - HISTORY_MILLIS) {
            firstRevision = events.remove(0).revision;
        }
        notifyAll();
    }

    private void expire() {
        while (true) {
            synchronized (this) {
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> {
                    if (Record.now() > lease.endsAt) {
                        ended.add(id);
                    }
                });
                ended.forEach(this::endLease);
            }
            Daemon.pause(20);
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.values().forEach(item -> {
            if (item.lease == id) {
                keys.add(item.key);
            }
        });
        revision += keys.isEmpty() ? 0 : 1;
        keys.forEach(this::remove);
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Daemon.pause(4);
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        if (path.equals("/kv-key")) {
            Item item;
            synchronized (this) {
                item = items.get(query.get("key"));
            }
            Json.answer(exchange, item == null ? 404 : 200, item == null ? null : item.node().put("asOf", revision));
        } else if (path.equals("/kv-range")) {
            Json.answer(exchange, 200, range(query.get("prefix"), query.getOrDefault("after", "")));
        } else if (path.equals("/kv-watch")) {
            watch(exchange, query.get("prefix"), Long.parseLong(query.get("after")), Long.parseLong(query.get("waitMs")));
        } else if (path.equals("/kv-txn")) {
            transact(exchange, Json.read(body));
        } else if (path.equals("/kv-lease")) {
            long ttl = Json.read(body).path("ttlMs").longValue();
            long id;
            synchronized (this) {
                id = ++lastLease;
                leases.put(id, new Lease(ttl, Record.now() + ttl));
            }
            Json.answer(exchange, 200, Json.object().put("lease", id).put("ttlMs", ttl));
        } else if (path.startsWith("/kv-keep/")) {
            Lease lease;
            synchronized (this) {
                lease = leases.get(Long.parseLong(path.substring("/kv-keep/".length())));
                if (lease != null) {
                    lease.endsAt = Record.now() + lease.ttl;
                }
            }
            Json.answer(exchange, lease == null ? 404 : 200, lease == null ? null : Json.object().put("ttlMs", lease.ttl));
        } else if (path.startsWith("/kv-lease-end/")) {
            synchronized (this) {
                endLease(Long.parseLong(path.substring("/kv-lease-end/".length())));
            }
            Json.answer(exchange, 200, Json.object());
        } else {
            Json.answer(exchange, 404, null);
        }
    }

    private synchronized ObjectNode range(String prefix, String after) {
        ObjectNode body = Json.object();
        ArrayNode page = body.putArray("items");
        boolean more = false;
        for (Item item : items.tailMap(prefix).values()) {
            if (!item.key.startsWith(prefix)) {
                break;
            }
            if (item.key.compareTo(after) <= 0) {
                continue;
            }
            if (page.size() == PAGE) {
                more = true;
                break;
            }
            page.add(item.node());
        }
        return body.put("hasMore", more).put("asOf", revision);
    }

    private void watch(HttpExchange exchange, String prefix, long after, long waitMillis) {
        long end = Record.now() + waitMillis;
        ObjectNode body = Json.object();
        ArrayNode found = body.putArray("events");
        synchronized (this) {
            while (true) {
                if (after < firstRevision) {
                    found = null;
                    break;
                }
                for (Event event : events) {
                    if (event.revision > after && event.node.path("key").textValue().startsWith(prefix)) {
                        found.add(event.node);
                    }
                }
                long left = end - Record.now();
                if (!found.isEmpty() || left <= 0) {
                    body.put("asOf", revision);
                    break;
                }
                try {
                    wait(left);
                } catch (InterruptedException e) {
                    return;
                }
            }
        }
        Json.answer(exchange, found == null ? 410 : 200, found == null ? null : body);
    }

    private void transact(HttpExchange exchange, JsonNode body) {
        int status = 200;
        ObjectNode answer = Json.object();
        synchronized (this) {
            boolean met = true;
            ArrayNode actual = answer.arrayNode();
            for (JsonNode row : body.path("precondition")) {
                Item item = items.get(row.path("key").textValue());
                met &= (item == null ? 0 : item.revision) == row.path("revision").longValue();
                if (item != null) {
                    actual.add(item.node());
                }
            }
            boolean leased = true;
            for (JsonNode put : body.path("puts")) {
                long lease = put.path("lease").longValue();
                leased &= lease == 0 || leases.containsKey(lease);
            }
            if (!met) {
                status = 412;
                answer.set("items", actual);
            } else if (!leased) {
                status = 404;
            } else {
                // All changes of a transaction have the same revision.
                revision++;
                for (JsonNode put : body.path("puts")) {
                    write(put.path("key").textValue(), put.path("value").textValue(), put.path("lease").longValue());
                }
                body.path("deletes").forEach(key -> remove(key.textValue()));
                answer.put("revision", revision);
            }
        }
        Json.answer(exchange, status, answer);
    }

    private static Map<String, String> query(String raw) {
        Map<String, String> values = new HashMap<>();
        for (String pair : raw == null ? new String[0] : raw.split("&")) {
            int split = pair.indexOf('=');
            values.put(pair.substring(0, split), URLDecoder.decode(pair.substring(split + 1), StandardCharsets.UTF_8));
        }
        return values;
    }

    private record Event(long at, long revision, ObjectNode node) {}

    private record Item(String key, String value, long revision, long created, long lease) {

        ObjectNode node() {
            return Json.object()
                    .put("key", key)
                    .put("value", value)
                    .put("revision", revision)
                    .put("created", created)
                    .put("lease", lease);
        }
    }

    private static final class Lease {

        private final long ttl;

        private long endsAt;

        private Lease(long ttl, long endsAt) {
            this.ttl = ttl;
            this.endsAt = endsAt;
        }
    }
}
