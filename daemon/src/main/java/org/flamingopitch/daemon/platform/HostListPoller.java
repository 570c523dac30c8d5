package org.flamingopitch.daemon.platform;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.supervisor.Service;
import org.flamingopitch.scheduler.model.WorkerId;
import org.flamingopitch.scheduler.worker.HostStatus;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpClient;
import org.flamingopitch.transport.http.HttpOutcome;
import org.flamingopitch.transport.http.HttpRequest;

/** Reads the platform's list of hosts, and which of them are about to leave, at a fixed interval. */
public final class HostListPoller implements Service {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final long POLL_INTERVAL_MILLIS = 1_000;

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(1);

    private static final String LEAVING_STATE = "leaving";

    private final HttpClient http;

    private final HostPort address;

    private final Consumer<List<HostStatus>> listener;

    private ScheduledExecutorService executor;

    /**
     * Creates a poller.
     *
     * @param http the HTTP client
     * @param address the address of the server that has the list
     * @param listener receives each list that was read
     */
    public HostListPoller(HttpClient http, HostPort address, Consumer<List<HostStatus>> listener) {
        this.http = http;
        this.address = address;
        this.listener = listener;
    }

    @Override
    public String name() {
        return "host-list";
    }

    @Override
    public void start() {
        executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "host-list");
            thread.setDaemon(true);
            return thread;
        });
        executor.scheduleWithFixedDelay(this::poll, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        if (executor != null) {
            executor.shutdownNow();
            executor = null;
        }
    }

    /** Reads the list; an exception would end the schedule, so that the list would no longer be followed. */
    private void poll() {
        HttpRequest order = new HttpRequest("GET", "/v1/hosts", new byte[0], REQUEST_TIMEOUT, Instant.MAX);
        try {
            http.send(address, 1, order, this::handleOutcome);
        } catch (RuntimeException e) {
            LOGGER.atWarning().withCause(e).log("event=host_list_unreadable step=hosts.send peer=%s", address);
        }
    }

    private void handleOutcome(HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered answer) || !answer.success()) {
            LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "event=host_list_unreadable step=hosts.read peer=%s", address);
            return;
        }
        try {
            HostsBody body = JsonCodec.json().decode(answer.text(), HostsBody.class);
            listener.accept(body.hosts().stream()
                    .map(host -> new HostStatus(host.host(), LEAVING_STATE.equals(host.state())))
                    .toList());
        } catch (IllegalArgumentException e) {
            LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "event=host_list_unreadable step=hosts.decode peer=%s detail=\"%s\"", address, e.getMessage());
        }
    }

    private record HostBody(WorkerId host, String state) {
        private HostBody {
            Objects.requireNonNull(host, "host");
        }
    }

    private record HostsBody(List<HostBody> hosts) {
        private HostsBody {
            hosts = List.copyOf(hosts);
        }
    }
}
