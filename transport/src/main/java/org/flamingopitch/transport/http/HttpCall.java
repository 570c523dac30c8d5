package org.flamingopitch.transport.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/** A request to this process, to be answered once, now or later, from any thread. */
public final class HttpCall {

    private final HttpServerExchange exchange;

    private final byte[] body;

    private final AtomicBoolean answered = new AtomicBoolean();

    HttpCall(HttpServerExchange exchange, byte[] body) {
        this.exchange = exchange;
        this.body = body;
    }

    /**
     * Returns the body.
     *
     * @return the bytes
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the body as text.
     *
     * @return the text
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Returns the method.
     *
     * @return its name
     */
    public String method() {
        return exchange.getRequestMethod().toString();
    }

    /**
     * Returns the path.
     *
     * @return the path without its query
     */
    public String path() {
        return exchange.getRequestPath();
    }

    /**
     * Returns the host name that the caller asked for.
     *
     * @return the name without a port
     */
    public String host() {
        return exchange.getHostName();
    }

    /**
     * Returns the port at which the request arrived.
     *
     * @return the port of this process
     */
    public int localPort() {
        return exchange.getDestinationAddress().getPort();
    }

    /**
     * Looks up a parameter of the query or the path.
     *
     * @param name its name
     * @return its value, if it is there
     */
    public Optional<String> parameter(String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? Optional.empty() : Optional.of(values.getFirst());
    }

    /**
     * Looks up a parameter that must be there.
     *
     * @param name its name
     * @return its value
     * @throws IllegalArgumentException if it is missing
     */
    public String required(String name) {
        return parameter(name).orElseThrow(() -> new IllegalArgumentException("parameter \"" + name + "\" is missing"));
    }

    /**
     * Looks up a number that must be there.
     *
     * @param name its name
     * @return its value
     * @throws IllegalArgumentException if it is missing or no whole number
     */
    public long requiredNumber(String name) {
        String value = required(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("parameter \"" + name + "\" must be a whole number: " + value, e);
        }
    }

    /**
     * Looks up a header.
     *
     * @param name its name
     * @return its value, if it is there
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    /**
     * Runs an action if the caller's connection closes before the answer.
     *
     * @param action what to run
     */
    public void onClosed(Runnable action) {
        exchange.getConnection().addCloseListener(connection -> {
            if (!answered.get()) {
                action.run();
            }
        });
    }

    /** Closes the connection after the answer, so that the caller opens another, to another host. */
    public void closeAfterAnswer() {
        exchange.setPersistent(false);
    }

    /**
     * Answers; a second answer is ignored.
     *
     * @param reply the answer
     */
    public void answer(HttpReply reply) {
        if (answered.compareAndSet(false, true)) {
            exchange.getIoThread().execute(() -> send(reply));
        }
    }

    private void send(HttpReply reply) {
        exchange.setStatusCode(reply.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, reply.contentType());
        if (reply.retryAfter() != null) {
            long seconds = Math.max(1, reply.retryAfter().plusMillis(999).toSeconds());
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(reply.body()));
    }
}
