package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Answers calls, and sends single calls over connections of their own. */
final class Http {

    private Http() {}

    /** An action that may fail. */
    interface Action {
        void run() throws IOException, InterruptedException;
    }

    static void guard(HttpExchange exchange, Action action) {
        try {
            action.run();
        } catch (IOException | InterruptedException | RuntimeException e) {
            exchange.close();
        }
    }

    static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
        answer(exchange, status, body, null);
    }

    /** Answers over a link, if there is one. */
    static void answer(HttpExchange exchange, int status, JsonNode body, Link link) throws IOException {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            if (link == null) {
                out.write(bytes);
            } else {
                link.send(bytes, out);
            }
        }
    }

    /** The answer to a call; status 0 means that there was none. */
    record Answer(int status, String body) {}

    static Answer call(InetSocketAddress address, String method, String path, String host, String body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(address, timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\n"
                    + "X-Flamingopitch-Deadline-Ms: " + timeoutMillis + "\r\nContent-Length: " + bytes.length
                    + "\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(bytes);
            socket.getOutputStream().flush();
            return read(socket.getInputStream());
        } catch (IOException | RuntimeException e) {
            return new Answer(0, e.toString());
        }
    }

    private static Answer read(InputStream in) throws IOException {
        String head = "";
        int length = -1;
        int status = 0;
        while (true) {
            String line = line(in);
            if (line.isEmpty()) {
                break;
            }
            if (head.isEmpty()) {
                status = Integer.parseInt(line.split(" ")[1]);
                head = line;
            } else if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        byte[] body = length < 0 ? in.readAllBytes() : in.readNBytes(length);
        if (length >= 0 && body.length < length) {
            throw new IOException("the answer ends early");
        }
        return new Answer(status, new String(body, StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new IOException("the connection ends early");
            }
            bytes.write(next);
            next = in.read();
        }
        return bytes.toString(StandardCharsets.US_ASCII).trim();
    }
}
