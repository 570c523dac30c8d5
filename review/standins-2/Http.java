import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server and client for the stand-ins, over plain sockets. */
final class Http {

    private Http() {}

    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, String body) {}

    /** An answer; null instead of one leaves the call unanswered and the connection open. */
    record Answer(int status, String body) {}

    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    /** A server on one loopback address; each connection has a thread. */
    static final class Server {

        private final InetSocketAddress address;

        private final Handler handler;

        private final long oneWayMillis;

        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

        private final Set<Socket> silent = ConcurrentHashMap.newKeySet();

        private volatile ServerSocket listener;

        /** Creates a server; oneWayMillis is the delay of the link in each direction. */
        Server(InetSocketAddress address, long oneWayMillis, Handler handler) {
            this.address = address;
            this.oneWayMillis = oneWayMillis;
            this.handler = handler;
        }

        void start() throws IOException {
            ServerSocket socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(address, 512);
            listener = socket;
            Thread thread = new Thread(() -> accept(socket), "accept-" + address);
            thread.setDaemon(true);
            thread.start();
        }

        int port() {
            return listener.getLocalPort();
        }

        /** Closes the listener and resets all connections, as the end of the process does. */
        void stop() {
            close(listener);
            connections.forEach(Http::reset);
            connections.clear();
        }

        /** Makes all open connections silent for good: what comes in is not read any more, and nothing is sent. */
        int silence() {
            silent.addAll(connections);
            return connections.size();
        }

        private void accept(ServerSocket socket) {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    connections.add(connection);
                    Thread thread = new Thread(() -> serve(connection), "serve-" + address);
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                while (true) {
                    Request request = readRequest(in);
                    if (request == null) {
                        break;
                    }
                    Thread.sleep(oneWayMillis);
                    if (connection.isClosed()) {
                        return;
                    }
                    Answer answer = silent.contains(connection) ? null : handler.handle(request);
                    Thread.sleep(oneWayMillis);
                    if (answer == null || silent.contains(connection)) {
                        // Nothing follows on a connection with a lost answer.
                        Thread.sleep(120_000);
                        break;
                    }
                    byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
                    String head = "HTTP/1.1 " + answer.status() + " Status\r\nContent-Type: application/json\r\n"
                            + "Content-Length: " + body.length + "\r\n\r\n";
                    ByteArrayOutputStream out = new ByteArrayOutputStream();
                    out.write(head.getBytes(StandardCharsets.US_ASCII));
                    out.write(body);
                    connection.getOutputStream().write(out.toByteArray());
                    connection.getOutputStream().flush();
                }
            } catch (IOException e) {
                // The other side is gone.
            } catch (Exception e) {
                System.err.println(address + ": " + e);
            } finally {
                connections.remove(connection);
                silent.remove(connection);
                close(connection);
            }
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // It is closed already.
        }
        close(socket);
    }

    private static void close(AutoCloseable closeable) {
        try {
            closeable.close();
        } catch (Exception e) {
            // Nothing is left to do.
        }
    }

    /** Sends one request on a connection of its own. */
    static Answer call(InetSocketAddress to, String method, String path, String host, int timeoutMillis, String body)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(to, 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n"
                    + "X-Flamingopitch-Deadline-Ms: " + timeoutMillis + "\r\n"
                    + (bytes.length > 0 ? "Content-Type: application/json\r\n" : "")
                    + "Content-Length: " + bytes.length + "\r\n\r\n";
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            socket.getOutputStream().write(out.toByteArray());
            socket.getOutputStream().flush();
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String status = readLine(in);
            if (status == null) {
                throw new EOFException("no answer");
            }
            Map<String, String> headers = readHeaders(in);
            return new Answer(Integer.parseInt(status.split(" ")[1]), readBody(in, headers));
        }
    }

    private static Request readRequest(InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        String[] parts = line.split(" ");
        Map<String, String> headers = readHeaders(in);
        String body = readBody(in, headers);
        int mark = parts[1].indexOf('?');
        String path = mark < 0 ? parts[1] : parts[1].substring(0, mark);
        Map<String, String> query = new LinkedHashMap<>();
        if (mark >= 0) {
            for (String pair : parts[1].substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return new Request(parts[0], path, query, headers, body);
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
            line = readLine(in);
        }
        return headers;
    }

    private static String readBody(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            int size = Integer.parseInt(readLine(in).trim(), 16);
            while (size > 0) {
                out.write(in.readNBytes(size));
                readLine(in);
                size = Integer.parseInt(readLine(in).trim(), 16);
            }
            readLine(in);
            return out.toString(StandardCharsets.UTF_8);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body ends early");
        }
        return new String(bytes, StandardCharsets.UTF_8);
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int c = in.read();
        while (c >= 0 && c != '\n') {
            if (c != '\r') {
                line.write(c);
            }
            c = in.read();
        }
        return c < 0 && line.size() == 0 ? null : line.toString(StandardCharsets.UTF_8);
    }
}
