package org.flamingopitch.transport.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

/** A request received by a server. Any thread may answer it, once, also after the handler has returned. */
public final class HttpCall {

    private final HttpServerExchange exchange;

    private final byte[] body;

    private final AtomicBoolean answered = new AtomicBoolean();

    HttpCall(HttpServerExchange exchange, byte[] body) {
        this.exchange = exchange;
        this.body = body;
    }

    /**
     * Returns the request body.
     *
     * @return the bytes, empty if there is no body
     */
    public byte[] body() {
        return body;
    }

    /**
     * Returns the request body, decoded as UTF-8.
     *
     * @return the text
     */
    public String text() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /**
     * Returns the HTTP method.
     *
     * @return the method in upper case, such as {@code GET}
     */
    public String method() {
        return exchange.getRequestMethod().toString();
    }

    /**
     * Returns the request path.
     *
     * @return the path without the query string
     */
    public String path() {
        return exchange.getRequestPath();
    }

    /**
     * Returns the host name of the Host header.
     *
     * @return the host name without a port
     */
    public String host() {
        return exchange.getHostName();
    }

    /**
     * Returns the local port on which the request arrived.
     *
     * @return the port
     */
    public int localPort() {
        return exchange.getDestinationAddress().getPort();
    }

    /**
     * Returns the first value of a query or path parameter.
     *
     * @param name the parameter
     * @return its value, or empty if it is absent
     */
    public Optional<String> parameter(String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? Optional.empty() : Optional.of(values.getFirst());
    }

    /**
     * Returns the first value of a mandatory query or path parameter.
     *
     * @param name the parameter
     * @return its value
     * @throws IllegalArgumentException if it is missing
     */
    public String requiredParameter(String name) {
        return parameter(name).orElseThrow(() -> new IllegalArgumentException("parameter \"" + name + "\" is missing"));
    }

    /**
     * Returns the first value of a mandatory query or path parameter as an integer.
     *
     * @param name the parameter
     * @return its value
     * @throws IllegalArgumentException if it is missing or not an integer
     */
    public long requiredLong(String name) {
        String value = requiredParameter(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("parameter \"" + name + "\" must be a whole number: " + value, e);
        }
    }

    /**
     * Returns the first value of a request header.
     *
     * @param name the header
     * @return its value, or empty if it is absent
     */
    public Optional<String> header(String name) {
        return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
    }

    /**
     * Registers an action that runs if the caller's connection closes before the request is answered.
     *
     * @param action the action
     */
    public void onClosedBeforeAnswer(Runnable action) {
        exchange.getConnection().addCloseListener(connection -> {
            if (!answered.get()) {
                action.run();
            }
        });
    }

    /** Closes the connection once the answer is sent, so that the caller reconnects, possibly to another host. */
    public void closeAfterAnswer() {
        exchange.setPersistent(false);
    }

    /**
     * Sends the answer; later calls are ignored.
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
