package org.flamingopitch.standins.kv;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.coordination.supervisor.Service;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpCall;
import org.flamingopitch.transport.http.HttpReply;
import org.flamingopitch.transport.http.HttpRoutes;
import org.flamingopitch.transport.http.HttpServer;

/** Serves a {@link KeyValueModel} over HTTP. A watch is answered at the first change or when its wait time is over. */
public final class KeyValueServer implements Service {

    private static final int MAX_VALUE_CHARS = 1 << 20;

    private static final long TICK_INTERVAL_MILLIS = 20;

    private final TimeSource clock;

    private final HttpServer http;

    private final KeyValueModel model = new KeyValueModel();

    private final List<Watcher> watchers = new ArrayList<>();

    private ScheduledExecutorService ticker;

    /**
     * Creates the server.
     *
     * @param address the address to listen on
     * @param clock the clock that leases and waits of watches are measured with
     */
    public KeyValueServer(HostPort address, TimeSource clock) {
        this.clock = clock;
        HttpRoutes routes = new HttpRoutes()
                .on("GET", "/v1/keys", this::read)
                .on("PUT", "/v1/keys", this::put)
                .on("DELETE", "/v1/keys", this::delete)
                .on("GET", "/v1/watch", this::watch)
                .on("POST", "/v1/leases", this::grant)
                .on("PUT", "/v1/leases", this::renew)
                .on("DELETE", "/v1/leases", this::revoke)
                .on("GET", "/v1/calls", this::counts);
        this.http = new HttpServer("kv-stand-in", address, routes, 1);
    }

    @Override
    public String name() {
        return "kv-stand-in";
    }

    @Override
    public void start() {
        http.start();
        ticker = Executors.newSingleThreadScheduledExecutor(task -> daemonThread(task, "kv-ticker"));
        ticker.scheduleAtFixedRate(this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        if (ticker != null) {
            ticker.shutdownNow();
            ticker = null;
        }
        http.stop();
    }

    /**
     * Returns the address that the server listens on.
     *
     * @return the address with the actual port
     */
    public HostPort address() {
        return http.boundAddress();
    }

    private static Thread daemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    private synchronized void read(HttpCall call) {
        Optional<String> prefix = call.parameter("prefix");
        if (prefix.isPresent()) {
            call.answer(HttpReply.json(HttpReply.OK, model.list(prefix.get())));
            return;
        }
        Optional<StoredKey> key = model.get(call.requiredParameter("key"));
        call.answer(key.map(found -> HttpReply.json(HttpReply.OK, found))
                .orElseGet(() -> HttpReply.error(HttpReply.NOT_FOUND, "no such key")));
    }

    private synchronized void put(HttpCall call) {
        String value = call.text();
        if (value.length() > MAX_VALUE_CHARS) {
            call.answer(HttpReply.error(HttpReply.TOO_LARGE, "a value has at most a megabyte"));
            return;
        }
        String lease = call.parameter("lease").orElse(null);
        model.expire(clock.now());
        answerWrite(call, model.put(call.requiredParameter("key"), value, call.requiredLong("expected"), lease));
    }

    private synchronized void delete(HttpCall call) {
        answerWrite(call, model.delete(call.requiredParameter("key"), call.requiredLong("expected")));
    }

    private void answerWrite(HttpCall call, WriteResult result) {
        int status = switch (result.status()) {
            case WRITTEN -> HttpReply.OK;
            case CONFLICT -> HttpReply.CONFLICT;
            case LEASE_ENDED -> HttpReply.GONE;
        };
        call.answer(HttpReply.json(status, new VersionBody(result.version())));
        answerWatchers();
    }

    private synchronized void watch(HttpCall call) {
        model.countWatchAsRead();
        Watcher watcher = new Watcher(
                call,
                call.requiredParameter("prefix"),
                call.requiredLong("after"),
                clock.now().plusMillis(call.requiredLong("waitMillis")).toEpochMilli());
        watchers.add(watcher);
        call.onClosedBeforeAnswer(() -> removeWatcher(watcher));
        answerWatchers();
    }

    private synchronized void removeWatcher(Watcher watcher) {
        watchers.remove(watcher);
    }

    private synchronized void grant(HttpCall call) {
        String lease = model.grant(clock.now(), Duration.ofMillis(call.requiredLong("ttlMillis")));
        call.answer(HttpReply.json(HttpReply.OK, new LeaseBody(lease)));
    }

    private synchronized void renew(HttpCall call) {
        String lease = call.requiredParameter("lease");
        boolean renewed = model.renew(clock.now(), lease);
        call.answer(HttpReply.json(renewed ? HttpReply.OK : HttpReply.GONE, new LeaseBody(lease)));
    }

    private synchronized void revoke(HttpCall call) {
        String lease = call.requiredParameter("lease");
        model.revoke(lease);
        call.answer(HttpReply.json(HttpReply.OK, new LeaseBody(lease)));
        answerWatchers();
    }

    private synchronized void counts(HttpCall call) {
        call.answer(HttpReply.json(HttpReply.OK, model.counts()));
    }

    private synchronized void tick() {
        model.expire(clock.now());
        answerWatchers();
    }

    private void answerWatchers() {
        long now = clock.now().toEpochMilli();
        Iterator<Watcher> iterator = watchers.iterator();
        while (iterator.hasNext()) {
            Watcher watcher = iterator.next();
            Optional<StoredKeys> changes = model.changes(watcher.prefix(), watcher.afterRevision());
            if (changes.isPresent() || now >= watcher.deadlineMillis()) {
                iterator.remove();
                StoredKeys noChanges = new StoredKeys(List.of(), model.revision(), false);
                watcher.call().answer(HttpReply.json(HttpReply.OK, changes.orElse(noChanges)));
            }
        }
    }

    private record Watcher(HttpCall call, String prefix, long afterRevision, long deadlineMillis) {}

    private record VersionBody(long version) {}

    private record LeaseBody(String lease) {}
}
