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
 * The network before a server. While it is cut, nothing passes and nothing is answered; connections that were open then are
 * reset when something is sent on them after the cut. Connections may also go silent for good, while new ones work.
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

    /** Lets the open connections go silent for good; new ones work. */
    void silence() {
        connections.forEach(connection -> connection.silent = true);
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

        private Socket server;

        private volatile boolean dead;

        private volatile boolean silent;

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
                server = new Socket(target.getAddress(), target.getPort());
                server.setTcpNoDelay(true);
                Daemon.thread(() -> {
                            pass(server, caller, false);
                        })
                        .start();
                pass(caller, server, true);
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
                    if (!silent) {
                        out.write(buffer, 0, length);
                    }
                    length = in.read(buffer);
                }
            } catch (IOException e) {
                // The other direction may go on.
            }
            if (fromCaller || !dead && !silent) {
                reset();
            }
        }

        private void reset() {
            try {
                caller.setSoLinger(true, 0);
                caller.close();
                if (server != null) {
                    server.close();
                }
            } catch (IOException e) {
                return;
            }
            connections.remove(this);
        }
    }
}
