package org.flamingopitch.soak;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.function.IntSupplier;

/**
 * A TCP proxy on loopback addresses. Bytes that it holds back reach the server after the fault, also if the client has
 * closed its connection by then: the server executes such calls late.
 */
final class LoopbackProxy {

    private static final int BUFFER_BYTES = 16_384;

    private final Timeline timeline;

    private final ExecutorService threads;

    private final IntSupplier targetPort;

    private final ServerSocket listener;

    private final Set<Socket> sockets = new HashSet<>();

    private LinkFault fault = LinkFault.NONE;

    LoopbackProxy(Timeline timeline, ExecutorService threads, IntSupplier targetPort) throws IOException {
        this.timeline = timeline;
        this.threads = threads;
        this.targetPort = targetPort;
        this.listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
    }

    void start() {
        threads.execute(this::acceptConnections);
    }

    void stop() throws IOException {
        listener.close();
        resetConnections();
    }

    int port() {
        return listener.getLocalPort();
    }

    void apply(LinkFault value) {
        synchronized (this) {
            fault = value;
            notifyAll();
        }
        if (value == LinkFault.RESET) {
            resetConnections();
        }
    }

    private void resetConnections() {
        List<Socket> open;
        synchronized (this) {
            open = List.copyOf(sockets);
            sockets.clear();
        }
        open.forEach(LoopbackProxy::reset);
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // The connection was closed at the same time, so there is nothing left to reset.
            return;
        }
    }

    private void acceptConnections() {
        while (!listener.isClosed()) {
            try {
                Socket client = listener.accept();
                threads.execute(() -> connect(client));
            } catch (IOException e) {
                // The listener is closed, which ends the loop, or the connection is gone again.
                continue;
            }
        }
    }

    private void connect(Socket client) {
        try {
            Socket server = new Socket(InetAddress.getLoopbackAddress(), targetPort.getAsInt());
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            synchronized (this) {
                sockets.add(client);
                sockets.add(server);
            }
            threads.execute(() -> forward(client, server, true));
            forward(server, client, false);
        } catch (IOException e) {
            reset(client);
        }
    }

    private void forward(Socket from, Socket to, boolean request) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            int length = from.getInputStream().read(buffer);
            while (length >= 0) {
                awaitPassage(request);
                to.getOutputStream().write(buffer, 0, length);
                length = from.getInputStream().read(buffer);
            }
            awaitPassage(request);
            to.shutdownOutput();
            if (!request) {
                from.close();
                to.close();
                remove(from, to);
            }
        } catch (IOException e) {
            forget(from, to);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            forget(from, to);
        }
    }

    private void forget(Socket from, Socket to) {
        remove(from, to);
        reset(from);
        reset(to);
    }

    private synchronized void remove(Socket from, Socket to) {
        sockets.remove(from);
        sockets.remove(to);
    }

    private void awaitPassage(boolean request) throws InterruptedException {
        long delayMillis;
        synchronized (this) {
            while (fault.holds(request)) {
                wait();
            }
            delayMillis = fault.delayMillis();
        }
        if (delayMillis > 0) {
            timeline.pause(delayMillis);
        }
    }
}
