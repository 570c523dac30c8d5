package org.flamingopitch.transport.http;

import io.undertow.client.ClientConnection;
import java.time.Duration;
import java.time.Instant;
import org.xnio.IoUtils;

/** A connection of a {@link ConnectionPool}, and when it was last known to work. */
final class PooledConnection {

    private final ClientConnection connection;

    private final Instant openedAt;

    /** When the last answer arrived; null before the first one. */
    private Instant answeredAt;

    PooledConnection(ClientConnection connection, Instant openedAt) {
        this.connection = connection;
        this.openedAt = openedAt;
    }

    ClientConnection connection() {
        return connection;
    }

    boolean open() {
        return connection.isOpen();
    }

    void close() {
        IoUtils.safeClose(connection);
    }

    void recordAnswer(Instant now) {
        answeredAt = now;
    }

    /** Returns when the server last showed that the connection works: when it was opened, or with the last answer. */
    Instant provedAt() {
        return answeredAt == null ? openedAt : answeredAt;
    }

    /** Describes the age of the connection, to tell a silent connection from a silent server. */
    String describe(Instant now) {
        String lastAnswer = answeredAt == null ? "none" : millis(answeredAt, now);
        return "connection opened_ms=" + millis(openedAt, now) + " last_answer_ms=" + lastAnswer;
    }

    private static String millis(Instant from, Instant to) {
        return Long.toString(Duration.between(from, to).toMillis());
    }
}
