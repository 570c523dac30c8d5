package org.flamingopitch.transport.http;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** A server whose open connections can go silent for good, without a reset, while new ones work. */
final class SilentServer implements Closeable {

    /** A request with this path gets no answer on any connection. */
    static final String UNANSWERED_PATH = "/unanswered";

    private static final byte[] ANSWER =
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    private static final Duration REQUEST_LIMIT = Duration.ofSeconds(5);

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    private final Set<Socket> connections = new HashSet<>();

    private final Set<Socket> silent = new HashSet<>();

    private int accepted;

    private int received;

    private boolean held;

    SilentServer() throws IOException {
        startThread(this::acceptConnections);
    }

    HostPort address() {
        return new HostPort("127.0.0.1", listener.getLocalPort());
    }

    synchronized int acceptedConnections() {
        return accepted;
    }

    synchronized int receivedRequests() {
        return received;
    }

    synchronized void silenceOpenConnections() {
        silent.addAll(connections);
    }

    /** Holds back all answers until {@link #releaseAnswers()}. */
    synchronized void holdAnswers() {
        held = true;
    }

    synchronized void releaseAnswers() {
        held = false;
        notifyAll();
    }

    /** Waits until that many requests have arrived in all. */
    synchronized void awaitRequests(int count) throws InterruptedException {
        long deadline = System.nanoTime() + REQUEST_LIMIT.toNanos();
        while (received < count) {
            long millis = Duration.ofNanos(deadline - System.nanoTime()).toMillis();
            if (millis <= 0) {
                throw new AssertionError("received " + received + " of " + count + " requests");
            }
            wait(millis);
        }
    }

    private static void startThread(Runnable action) {
        Thread thread = new Thread(action, "silent-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket connection = listener.accept();
                synchronized (this) {
                    accepted++;
                    connections.add(connection);
                }
                startThread(() -> serve(connection));
            }
        } catch (IOException e) {
            // The server is closed.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            String requestLine = reader.readLine();
            while (requestLine != null) {
                String header = reader.readLine();
                while (header != null && !header.isEmpty()) {
                    header = reader.readLine();
                }
                if (mayAnswer(connection, requestLine)) {
                    connection.getOutputStream().write(ANSWER);
                }
                requestLine = reader.readLine();
            }
        } catch (IOException e) {
            // The client has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean mayAnswer(Socket connection, String requestLine) throws InterruptedException {
        if (silent.contains(connection)) {
            return false;
        }
        received++;
        notifyAll();
        if (requestLine.contains(UNANSWERED_PATH)) {
            return false;
        }
        while (held) {
            wait();
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        synchronized (this) {
            for (Socket connection : connections) {
                connection.close();
            }
        }
    }
}
