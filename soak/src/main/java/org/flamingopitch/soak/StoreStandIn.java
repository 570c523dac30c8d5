package org.flamingopitch.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** The platform's metadata store. Each host reaches it at a port of its own, so that it can turn single hosts away. */
final class StoreStandIn {

    private static final int PAGE_ITEMS = 500;

    private static final int PAGE_BYTES = 1_000_000;

    private static final int MAX_ENTRIES = 32;

    private static final int VALUE_BYTES = 1_048_576;

    private static final long MIN_TTL_MILLIS = 1_000;

    private static final long MAX_TTL_MILLIS = 600_000;

    private static final long HISTORY_MILLIS = 20_000;

    private static final long TICK_MILLIS = 20;

    private static final double LOST_ANSWERS = 0.3;

    private final Timeline timeline;

    private final ExecutorService threads;

    private final SplittableRandom random;

    private final List<StandInServer> servers = new ArrayList<>();

    private final TreeMap<String, Item> items = new TreeMap<>();

    private final List<Event> events = new ArrayList<>();

    private final Map<Long, Lease> leases = new HashMap<>();

    private final Set<Integer> refusedHosts = new HashSet<>();

    private boolean losesAnswers;

    private boolean leasesPause;

    private long lastTick;

    private long revision = 100;

    private long compacted = 100;

    private long lastLease = 70_000;

    private int lastConditionalWriter;

    StoreStandIn(Timeline timeline, ExecutorService threads, SplittableRandom random) {
        this.timeline = timeline;
        this.threads = threads;
        this.random = random;
    }

    void start(ScheduledExecutorService timer) {
        timer.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    void stop() {
        servers.forEach(StandInServer::stop);
    }

    /** Opens the port at which one host reaches the store, and returns it. */
    int open(int host) throws IOException {
        StandInServer server = StandInServer.start(0, threads, (self, exchange) -> handle(host, exchange));
        servers.add(server);
        return server.port();
    }

    /** Answers the calls of a host with 503 and does nothing for it, or serves it again. */
    synchronized void refuse(int host, boolean value) {
        if (value) {
            refusedHosts.add(host);
        } else {
            refusedHosts.remove(host);
        }
        notifyAll();
    }

    synchronized void pauseLeases(boolean value) {
        leasesPause = value;
    }

    /** Executes calls and leaves a part of them unanswered. */
    synchronized void loseAnswers(boolean value) {
        losesAnswers = value;
    }

    synchronized void compact() {
        events.clear();
        compacted = revision;
        notifyAll();
    }

    /** Removes the entries of all workers, as if they had expired; those that live are back with their next heartbeat. */
    synchronized void expireWorkers() {
        List.copyOf(items.keySet()).stream()
                .filter(key -> key.startsWith("servers/"))
                .forEach(this::delete);
    }

    /** Returns the host that last wrote under a condition: usually the owner. */
    synchronized int lastConditionalWriter() {
        return lastConditionalWriter;
    }

    /** Writes a key of the operator or of a worker. */
    synchronized void put(String key, String value) {
        revision++;
        set(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    synchronized void delete(String key) {
        if (items.containsKey(key)) {
            revision++;
            drop(key);
            notifyAll();
        }
    }

    private synchronized void tick() {
        long now = timeline.millis();
        long passed = now - lastTick;
        lastTick = now;
        leases.replaceAll((id, lease) -> leasesPause ? new Lease(lease.ttl(), lease.end() + passed) : lease);
        for (Map.Entry<Long, Lease> entry : List.copyOf(leases.entrySet())) {
            if (entry.getValue().end() <= now) {
                endLease(entry.getKey());
            }
        }
        int old = 0;
        while (old < events.size() && events.get(old).at() < now - HISTORY_MILLIS) {
            compacted = events.get(old).revision();
            old++;
        }
        events.subList(0, old).clear();
    }

    private void handle(int host, HttpExchange exchange) throws IOException, InterruptedException {
        JsonNode body = Json.read(exchange.getRequestBody().readAllBytes());
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        Answer answer;
        boolean lost;
        synchronized (this) {
            answer = refusedHosts.contains(host) ? new Answer(503, Json.object()) : execute(host, path, query, body);
            lost = losesAnswers && random.nextDouble() < LOST_ANSWERS;
        }
        if (!lost) {
            StandInServer.answer(exchange, answer.status(), answer.body());
        }
    }

    private Answer execute(int host, String path, Map<String, String> query, JsonNode body)
            throws InterruptedException {
        if (path.equals("/kv-key")) {
            Item item = items.get(query.get("key"));
            return item == null
                    ? new Answer(404, Json.object())
                    : new Answer(200, item.toJson().put("asOf", revision));
        } else if (path.equals("/kv-range")) {
            return range(query.getOrDefault("prefix", ""), query.getOrDefault("after", ""));
        } else if (path.equals("/kv-watch")) {
            return watch(host, query);
        } else if (path.equals("/kv-txn")) {
            return transact(host, body);
        } else if (path.equals("/kv-lease")) {
            long ttl = Math.max(
                    MIN_TTL_MILLIS, Math.min(MAX_TTL_MILLIS, body.path("ttlMs").asLong()));
            lastLease++;
            leases.put(lastLease, new Lease(ttl, timeline.millis() + ttl));
            return new Answer(200, Json.object().put("lease", lastLease).put("ttlMs", ttl));
        } else if (path.startsWith("/kv-keep/")) {
            return keep(Long.parseLong(path.substring("/kv-keep/".length())));
        } else if (path.startsWith("/kv-lease-end/")) {
            boolean ended = endLease(Long.parseLong(path.substring("/kv-lease-end/".length())));
            return new Answer(ended ? 200 : 404, Json.object());
        }
        return new Answer(404, Json.object());
    }

    private static Map<String, String> query(String text) {
        Map<String, String> values = new HashMap<>();
        if (text != null) {
            for (String pair : text.split("&")) {
                int equals = pair.indexOf('=');
                values.put(
                        pair.substring(0, equals),
                        URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return values;
    }

    private Answer range(String prefix, String after) {
        ObjectNode answer = Json.object();
        ArrayNode page = answer.putArray("items");
        boolean hasMore = false;
        int bytes = 0;
        for (Item item : items.tailMap(prefix.compareTo(after) > 0 ? prefix : after, after.isEmpty())
                .values()) {
            if (!item.key().startsWith(prefix)) {
                break;
            }
            bytes += item.value().length();
            if (page.size() >= PAGE_ITEMS || page.size() > 0 && bytes > PAGE_BYTES) {
                hasMore = true;
                break;
            }
            page.add(item.toJson());
        }
        return new Answer(200, answer.put("hasMore", hasMore).put("asOf", revision));
    }

    private Answer watch(int host, Map<String, String> query) throws InterruptedException {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long until = timeline.millis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
        ObjectNode answer = Json.object();
        ArrayNode list = answer.putArray("events");
        while (true) {
            if (refusedHosts.contains(host)) {
                return new Answer(503, Json.object());
            }
            if (after < compacted) {
                return new Answer(410, Json.object());
            }
            for (Event event : events) {
                if (event.revision() > after && event.key().startsWith(prefix)) {
                    list.add(event.toJson());
                }
            }
            long left = until - timeline.millis();
            if (list.size() > 0 || left <= 0) {
                return new Answer(200, answer.put("asOf", revision));
            }
            wait(left);
        }
    }

    private Answer transact(int host, JsonNode body) {
        JsonNode conditions = body.path("precondition");
        int entries = conditions.size()
                + body.path("puts").size()
                + body.path("deletes").size();
        if (entries > MAX_ENTRIES) {
            return new Answer(400, Json.object());
        }
        for (JsonNode put : body.path("puts")) {
            long lease = put.path("lease").asLong(0);
            if (lease != 0 && !leases.containsKey(lease)) {
                return new Answer(404, Json.object());
            }
            if (Base64.getDecoder().decode(put.path("value").asText()).length > VALUE_BYTES) {
                return new Answer(400, Json.object());
            }
        }
        ArrayNode actual = Json.array();
        boolean holds = true;
        for (JsonNode row : conditions) {
            Item item = items.get(row.path("key").asText());
            holds &=
                    (item == null ? 0 : item.revision()) == row.path("revision").asLong();
            if (item != null) {
                actual.add(item.toJson());
            }
        }
        if (!holds) {
            return new Answer(412, Json.object().set("items", actual));
        }
        revision++;
        body.path("puts")
                .forEach(put -> set(
                        put.path("key").asText(),
                        put.path("value").asText(),
                        put.path("lease").asLong(0)));
        body.path("deletes").forEach(key -> drop(key.asText()));
        if (conditions.size() > 0) {
            lastConditionalWriter = host;
        }
        notifyAll();
        return new Answer(200, Json.object().put("revision", revision));
    }

    private Answer keep(long id) {
        Lease lease =
                leases.computeIfPresent(id, (key, former) -> new Lease(former.ttl(), timeline.millis() + former.ttl()));
        return lease == null
                ? new Answer(404, Json.object())
                : new Answer(200, Json.object().put("ttlMs", lease.ttl()));
    }

    private boolean endLease(long id) {
        boolean found = leases.remove(id) != null;
        for (Item item : List.copyOf(items.values())) {
            if (item.lease() == id) {
                revision++;
                drop(item.key());
            }
        }
        notifyAll();
        return found;
    }

    private void set(String key, String value, long lease) {
        Item former = items.get(key);
        Item item = new Item(key, value, revision, former == null ? revision : former.created(), lease);
        items.put(key, item);
        events.add(new Event(timeline.millis(), key, revision, item));
    }

    private void drop(String key) {
        if (items.remove(key) != null) {
            events.add(new Event(timeline.millis(), key, revision, null));
        }
    }

    private record Answer(int status, JsonNode body) {}

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

    private record Event(long at, String key, long revision, Item item) {

        ObjectNode toJson() {
            return item != null
                    ? item.toJson()
                    : Json.object().put("key", key).put("revision", revision).put("tombstone", true);
        }
    }

    private record Lease(long ttl, long end) {}
}
