package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
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

/**
 * The platform's metadata store. Each host of the system reaches it at an address of its own, over a link of its own, so
 * that the store can refuse single hosts and links can be narrow.
 */
final class Store {

    private static final int PAGE_ITEMS = 500;

    private static final int PAGE_BYTES = 1_000_000;

    private static final int MAX_ENTRIES = 32;

    private final int valueBytes;

    private final Record record;

    private final ExecutorService threads = Executors.newCachedThreadPool(Daemons::thread);

    private final List<HttpServer> servers = new ArrayList<>();

    private final TreeMap<String, Item> items = new TreeMap<>();

    private final List<Event> events = new ArrayList<>();

    private final Map<Long, Lease> leases = new HashMap<>();

    private final Map<Integer, Boolean> refused = new HashMap<>();

    private final Map<Integer, Link> links = new HashMap<>();

    private long revision = 100;

    private long lastLease = 70_000;

    private int lastConditionalWriter = -1;

    private int refusedValues;

    Store(int valueBytes, Record record) {
        this.valueBytes = valueBytes;
        this.record = record;
        Daemons.repeat(20, this::expireLeases);
    }

    /** Opens the address at which one host reaches the store, and returns its port. */
    int open(int host) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        server.createContext("/", exchange -> Http.guard(exchange, () -> handle(host, exchange)));
        server.start();
        servers.add(server);
        return server.getAddress().getPort();
    }

    /** Answers the calls of one host with 503 and does nothing for it, or serves it again. */
    synchronized void refuse(int host, boolean value) {
        refused.put(host, value);
        notifyAll();
    }

    /** Limits the rate of the answers to one host; all answers to it share the link. */
    synchronized void limit(int host, double megabitsPerSecond) {
        links.put(host, new Link(megabitsPerSecond));
    }

    private void answer(int host, HttpExchange exchange, int status, ObjectNode body) throws IOException {
        Link link;
        synchronized (this) {
            link = links.get(host);
        }
        if (link == null) {
            Http.answer(exchange, status, body);
        } else {
            Http.answer(exchange, status, body, link);
        }
    }

    /** Returns the host that last wrote under a condition. */
    synchronized int lastConditionalWriter() {
        return lastConditionalWriter;
    }

    /** Returns how many transactions were refused because a value was too large. */
    synchronized int refusedValues() {
        return refusedValues;
    }

    /** Writes a key of the operator or of a worker. */
    synchronized void put(String key, String value) {
        write(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void delete(String key) {
        remove(key);
        notifyAll();
    }

    private synchronized boolean refuses(int host) {
        return refused.getOrDefault(host, false);
    }

    private void handle(int host, HttpExchange exchange) throws IOException, InterruptedException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (refuses(host)) {
            Http.answer(exchange, 503, Json.object());
            return;
        }
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        if (path.equals("/kv-key")) {
            getKey(host, exchange, query.get("key"));
        } else if (path.equals("/kv-range")) {
            getRange(host, exchange, query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
        } else if (path.equals("/kv-watch")) {
            watch(host, exchange, query);
        } else if (path.equals("/kv-txn")) {
            transact(host, exchange, Json.read(body));
        } else if (path.equals("/kv-lease")) {
            grant(exchange, Json.read(body));
        } else if (path.startsWith("/kv-keep/")) {
            keep(exchange, Long.parseLong(path.substring("/kv-keep/".length())));
        } else if (path.startsWith("/kv-lease-end/")) {
            end(exchange, Long.parseLong(path.substring("/kv-lease-end/".length())));
        } else {
            Http.answer(exchange, 404, Json.object());
        }
    }

    private static Map<String, String> query(String text) {
        Map<String, String> values = new HashMap<>();
        if (text != null) {
            for (String pair : text.split("&")) {
                int equals = pair.indexOf('=');
                values.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    private void getKey(int host, HttpExchange exchange, String key) throws IOException {
        ObjectNode answer;
        synchronized (this) {
            Item item = items.get(key);
            answer = item == null ? null : item.toJson().put("asOf", revision);
        }
        answer(host, exchange, answer == null ? 404 : 200, answer == null ? Json.object() : answer);
    }

    private void getRange(int host, HttpExchange exchange, String prefix, String after) throws IOException {
        ObjectNode answer = Json.object();
        synchronized (this) {
            ArrayNode page = answer.putArray("items");
            boolean hasMore = false;
            int bytes = 0;
            for (Item item : items.tailMap(prefix.compareTo(after) > 0 ? prefix : after, true).values()) {
                if (!item.key().startsWith(prefix)) {
                    break;
                }
                if (!after.isEmpty() && item.key().compareTo(after) <= 0) {
                    continue;
                }
                bytes += item.value().length();
                if (page.size() >= PAGE_ITEMS || page.size() > 0 && bytes > PAGE_BYTES) {
                    hasMore = true;
                    break;
                }
                page.add(item.toJson());
            }
            answer.put("hasMore", hasMore).put("asOf", revision);
        }
        answer(host, exchange, 200, answer);
    }

    private void watch(int host, HttpExchange exchange, Map<String, String> query)
            throws IOException, InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long until = System.nanoTime() + Long.parseLong(query.getOrDefault("waitMs", "0")) * 1_000_000;
        ObjectNode answer = Json.object();
        boolean cut;
        synchronized (this) {
            ArrayNode list = answer.putArray("events");
            while (true) {
                for (Event event : events) {
                    if (event.revision() > after && event.key().startsWith(prefix)) {
                        list.add(event.toJson());
                    }
                }
                long left = (until - System.nanoTime()) / 1_000_000;
                cut = refused.getOrDefault(host, false);
                if (list.size() > 0 || left <= 0 || cut) {
                    break;
                }
                wait(left);
            }
            answer.put("asOf", revision);
        }
        answer(host, exchange, cut ? 503 : 200, cut ? Json.object() : answer);
    }

    private void transact(int host, HttpExchange exchange, JsonNode body) throws IOException {
        int status = 200;
        ObjectNode answer = Json.object();
        synchronized (this) {
            ArrayNode actual = Json.array();
            boolean holds = true;
            for (JsonNode row : body.path("precondition")) {
                Item item = items.get(row.path("key").asText());
                long found = item == null ? 0 : item.revision();
                holds &= found == row.path("revision").asLong();
                if (item != null) {
                    actual.add(item.toJson());
                }
            }
            int entries = body.path("precondition").size() + body.path("puts").size() + body.path("deletes").size();
            status = check(body, entries);
            if (status == 200 && !holds) {
                status = 412;
                answer.set("items", actual);
            }
            if (status == 200) {
                revision++;
                body.path("puts").forEach(put ->
                        set(put.path("key").asText(), put.path("value").asText(), put.path("lease").asLong(0)));
                body.path("deletes").forEach(key -> drop(key.asText()));
                answer.put("revision", revision);
                if (body.path("precondition").size() > 0) {
                    lastConditionalWriter = host;
                }
                notifyAll();
            }
        }
        Http.answer(exchange, status, answer);
    }

    private int check(JsonNode body, int entries) {
        for (JsonNode put : body.path("puts")) {
            int length = Base64.getDecoder().decode(put.path("value").asText()).length;
            if (length > valueBytes) {
                refusedValues++;
                if (refusedValues <= 3 || refusedValues % 50 == 0) {
                    record.line("store: refused a value of %d bytes under %s (%d so far)",
                            length, put.path("key").asText(), refusedValues);
                }
                return 400;
            }
            long lease = put.path("lease").asLong(0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
        }
        return entries > MAX_ENTRIES ? 400 : 200;
    }

    private void grant(HttpExchange exchange, JsonNode body) throws IOException {
        long ttl = Math.max(1_000, Math.min(600_000, body.path("ttlMs").asLong()));
        long id;
        synchronized (this) {
            id = ++lastLease;
            leases.put(id, new Lease(ttl, System.nanoTime() + ttl * 1_000_000));
        }
        Http.answer(exchange, 200, Json.object().put("lease", id).put("ttlMs", ttl));
    }

    private void keep(HttpExchange exchange, long id) throws IOException {
        Lease lease;
        synchronized (this) {
            lease = leases.get(id);
            if (lease != null) {
                leases.put(id, new Lease(lease.ttl(), System.nanoTime() + lease.ttl() * 1_000_000));
            }
        }
        Http.answer(exchange, lease == null ? 404 : 200,
                lease == null ? Json.object() : Json.object().put("ttlMs", lease.ttl()));
    }

    private void end(HttpExchange exchange, long id) throws IOException {
        boolean found;
        synchronized (this) {
            found = leases.remove(id) != null;
            removeKeysOf(id);
            notifyAll();
        }
        Http.answer(exchange, found ? 200 : 404, Json.object());
    }

    private synchronized void expireLeases() {
        for (Map.Entry<Long, Lease> entry : List.copyOf(leases.entrySet())) {
            if (entry.getValue().endNanos() <= System.nanoTime()) {
                leases.remove(entry.getKey());
                removeKeysOf(entry.getKey());
                notifyAll();
            }
        }
    }

    private void removeKeysOf(long lease) {
        for (Item item : List.copyOf(items.values())) {
            if (item.lease() == lease) {
                remove(item.key());
            }
        }
    }

    private void write(String key, String value, long lease) {
        revision++;
        set(key, value, lease);
    }

    private void remove(String key) {
        if (items.containsKey(key)) {
            revision++;
            drop(key);
        }
    }

    private void set(String key, String value, long lease) {
        Item former = items.get(key);
        Item item = new Item(key, value, revision, former == null ? revision : former.created(), lease);
        items.put(key, item);
        events.add(new Event(key, revision, item));
    }

    private void drop(String key) {
        if (items.remove(key) != null) {
            events.add(new Event(key, revision, null));
        }
    }

    private record Item(String key, String value, long revision, long created, long lease) {

        ObjectNode toJson() {
            return Json.object()
                    .put("key", key)
                    .put("value", value)
                    .put("revision", revision)
                    .put("created", created)
                    .put("lease", lease);
        }
    }

    private record Event(String key, long revision, Item item) {

        ObjectNode toJson() {
            return item != null ? item.toJson()
                    : Json.object().put("key", key).put("revision", revision).put("tombstone", true);
        }
    }

    private record Lease(long ttl, long endNanos) {}
}
