import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The network between the system and a worker. While it is cut, nothing passes and nothing is answered. Connections that
 * were open when the worker's process ended get no sign of it; they are reset when something is sent on them after the cut.
 */
final class Link {

    private final ServerSocket listener;

    private final InetSocketAddress target;

    private final List<Connection> connections = new CopyOnWriteArrayList<>();

    private volatile boolean cut;

    Link(InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Daemon.thread(this::accept).start();
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Cuts the link; the open connections do not outlive it. */
    void cut() {
        cut = true;
        connections.forEach(connection -> connection.dead = true);
    }

    void heal() {
        cut = false;
    }

    private void accept() {
        while (true) {
            try {
                Connection connection = new Connection(listener.accept());
                connections.add(connection);
                Daemon.thread(connection::run).start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private final class Connection {

        private final Socket caller;

        private Socket worker;

        private volatile boolean dead;

        private Connection(Socket caller) {
            this.caller = caller;
        }

        private void run() {
            try {
                caller.setTcpNoDelay(true);
                // A connection that is opened during the cut comes about after it.
                while (cut) {
                    Daemon.pause(10);
                }
                worker = new Socket(target.getAddress(), target.getPort());
                worker.setTcpNoDelay(true);
                Daemon.thread(() -> {
                            pass(worker, caller, false);
                        })
                        .start();
                pass(caller, worker, true);
            } catch (IOException e) {
                reset();
            }
        }

        private void pass(Socket from, Socket to, boolean fromCaller) {
            byte[] buffer = new byte[65_536];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                int length = in.read(buffer);
                while (length >= 0) {
                    while (cut) {
                        Daemon.pause(10);
                    }
                    if (dead) {
                        if (fromCaller) {
                            reset();
                        }
                        return;
                    }
                    out.write(buffer, 0, length);
                    length = in.read(buffer);
                }
            } catch (IOException e) {
                // The other direction may go on.
            }
            if (!dead || fromCaller) {
                reset();
            }
        }

        private void reset() {
            try {
                caller.setSoLinger(true, 0);
                caller.close();
                if (worker != null) {
                    worker.close();
                }
            } catch (IOException e) {
                return;
            }
            connections.remove(this);
        }
    }
}
