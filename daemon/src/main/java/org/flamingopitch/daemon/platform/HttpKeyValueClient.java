package org.flamingopitch.daemon.platform;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.http.HttpClient;
import org.flamingopitch.transport.http.HttpOutcome;
import org.flamingopitch.transport.http.HttpReply;
import org.flamingopitch.transport.http.HttpRequest;

/** Calls the platform's key-value service over HTTP. */
public final class HttpKeyValueClient {

    private static final String STEP = "kv.call";

    private static final Duration CALL_TIMEOUT = Duration.ofMillis(700);

    private static final Duration LIST_TIMEOUT = Duration.ofSeconds(5);

    private static final int MAX_CONNECTIONS = 16;

    private static final byte[] NO_BODY = new byte[0];

    private final HttpClient http;

    private final HostPort address;

    /**
     * Creates a client of the service.
     *
     * @param http the HTTP client
     * @param address the service's address
     */
    public HttpKeyValueClient(HttpClient http, HostPort address) {
        this.http = http;
        this.address = address;
    }

    /**
     * Calls the service.
     *
     * @param request the call
     * @param handler receives the result exactly once
     */
    public void call(KeyValueRequest request, Consumer<KeyValueResult> handler) {
        HttpRequest order = toOrder(request);
        http.send(address, MAX_CONNECTIONS, order, outcome -> handler.accept(toResult(request, outcome)));
    }

    private static HttpRequest toOrder(KeyValueRequest request) {
        if (request instanceof KeyValueRequest.Get get) {
            return newOrder("GET", "/v1/keys?key=" + encode(get.key()), NO_BODY, CALL_TIMEOUT);
        }
        if (request instanceof KeyValueRequest.ListPrefix list) {
            return newOrder("GET", "/v1/keys?prefix=" + encode(list.prefix()), NO_BODY, LIST_TIMEOUT);
        }
        if (request instanceof KeyValueRequest.Watch watch) {
            String path = "/v1/watch?prefix=" + encode(watch.prefix()) + "&after=" + watch.afterRevision()
                    + "&waitMillis=" + watch.maxWait().toMillis();
            return newOrder("GET", path, NO_BODY, watch.maxWait().plus(CALL_TIMEOUT))
                    .withServerWait(watch.maxWait());
        }
        if (request instanceof KeyValueRequest.Put put) {
            String lease = put.leaseId() == null ? "" : "&lease=" + encode(put.leaseId());
            String path = "/v1/keys?key=" + encode(put.key()) + "&expected=" + put.expectedVersion() + lease;
            return newOrder("PUT", path, put.value().getBytes(StandardCharsets.UTF_8), CALL_TIMEOUT);
        }
        if (request instanceof KeyValueRequest.Delete delete) {
            String path = "/v1/keys?key=" + encode(delete.key()) + "&expected=" + delete.expectedVersion();
            return newOrder("DELETE", path, NO_BODY, CALL_TIMEOUT);
        }
        return toLeaseOrder(request);
    }

    private static HttpRequest toLeaseOrder(KeyValueRequest request) {
        if (request instanceof KeyValueRequest.GrantLease grant) {
            String path = "/v1/leases?ttlMillis=" + grant.timeToLive().toMillis();
            return newOrder("POST", path, NO_BODY, CALL_TIMEOUT);
        }
        if (request instanceof KeyValueRequest.RenewLease renew) {
            return newOrder("PUT", "/v1/leases?lease=" + encode(renew.leaseId()), NO_BODY, CALL_TIMEOUT);
        }
        KeyValueRequest.RevokeLease revoke = (KeyValueRequest.RevokeLease) request;
        return newOrder("DELETE", "/v1/leases?lease=" + encode(revoke.leaseId()), NO_BODY, CALL_TIMEOUT);
    }

    private static HttpRequest newOrder(String method, String path, byte[] body, Duration timeout) {
        return new HttpRequest(method, path, body, timeout, Instant.MAX);
    }

    private KeyValueResult toResult(KeyValueRequest request, HttpOutcome outcome) {
        if (outcome instanceof HttpOutcome.NotSent notSent) {
            return new KeyValueResult.Failed(notSent.failure());
        }
        if (outcome instanceof HttpOutcome.Lost lost) {
            return new KeyValueResult.Failed(lost.failure());
        }
        HttpOutcome.Answered answer = (HttpOutcome.Answered) outcome;
        try {
            return decode(request, answer);
        } catch (IllegalArgumentException e) {
            return failedResult(e.getMessage());
        }
    }

    private KeyValueResult decode(KeyValueRequest request, HttpOutcome.Answered answer) {
        if (answer.status() == HttpReply.CONFLICT) {
            return new KeyValueResult.Conflict(
                    decodeBody(answer, VersionBody.class).version());
        }
        if (answer.status() == HttpReply.GONE) {
            return new KeyValueResult.LeaseEnded();
        }
        if (answer.status() == HttpReply.NOT_FOUND && request instanceof KeyValueRequest.Get) {
            return new KeyValueResult.Missing();
        }
        if (!answer.success()) {
            return failedResult("status " + answer.status() + " " + answer.text());
        }
        return decodeSuccess(request, answer);
    }

    private static KeyValueResult decodeSuccess(KeyValueRequest request, HttpOutcome.Answered answer) {
        if (request instanceof KeyValueRequest.Get) {
            return new KeyValueResult.Found(decodeBody(answer, KeyValueEntry.class));
        }
        if (request instanceof KeyValueRequest.Put || request instanceof KeyValueRequest.Delete) {
            return new KeyValueResult.Written(
                    decodeBody(answer, VersionBody.class).version());
        }
        if (request instanceof KeyValueRequest.ListPrefix || request instanceof KeyValueRequest.Watch) {
            KeysBody body = decodeBody(answer, KeysBody.class);
            return new KeyValueResult.Listed(body.entries(), body.revision(), body.complete());
        }
        return new KeyValueResult.Leased(decodeBody(answer, LeaseBody.class).lease());
    }

    private static <T> T decodeBody(HttpOutcome.Answered answer, Class<T> type) {
        return JsonCodec.json().decode(answer.text(), type);
    }

    private KeyValueResult failedResult(String detail) {
        return new KeyValueResult.Failed(new Failure(STEP, address.toString(), detail));
    }

    private static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    private record VersionBody(long version) {}

    private record LeaseBody(String lease) {
        private LeaseBody {
            Objects.requireNonNull(lease, "lease");
        }
    }

    private record KeysBody(List<KeyValueEntry> entries, long revision, boolean complete) {
        private KeysBody {
            entries = List.copyOf(entries);
            entries.forEach(entry -> Objects.requireNonNull(entry.key(), "key"));
        }
    }
}
