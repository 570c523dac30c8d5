package org.flamingopitch.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;

/** An HTTP server of a stand-in on a loopback address. */
final class StandInServer {

    private final HttpServer server;

    private StandInServer(HttpServer server) {
        this.server = server;
    }

    /** Starts a server at a port, or at a free one if the port is 0. */
    static StandInServer start(int port, ExecutorService threads, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
        server.setExecutor(threads);
        StandInServer result = new StandInServer(server);
        server.createContext("/", exchange -> {
            try {
                handler.handle(result, exchange);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                exchange.close();
            } catch (IOException | RuntimeException e) {
                exchange.close();
            }
        });
        server.start();
        return result;
    }

    static void answer(HttpExchange exchange, int status, JsonNode body) throws IOException {
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(status, bytes.length);
        try (OutputStream out = exchange.getResponseBody()) {
            out.write(bytes);
        }
    }

    int port() {
        return server.getAddress().getPort();
    }

    void stop() {
        server.stop(0);
    }

    /** Handles one call. */
    interface Handler {

        void handle(StandInServer server, HttpExchange exchange) throws IOException, InterruptedException;
    }
}
