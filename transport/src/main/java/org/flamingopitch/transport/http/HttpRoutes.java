package org.flamingopitch.transport.http;

import io.undertow.Handlers;
import io.undertow.io.Receiver;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.RequestTooBigException;
import io.undertow.server.RoutingHandler;
import io.undertow.util.SameThreadExecutor;
import java.io.IOException;
import java.util.function.Consumer;

/** Maps HTTP methods and paths to the handlers of a server. */
public final class HttpRoutes {

    private final RoutingHandler routingHandler = Handlers.routing();

    /** Creates a table without routes; requests that match no route are answered with 404 or 405. */
    public HttpRoutes() {
        routingHandler.setFallbackHandler(
                exchange -> answerError(exchange, HttpReply.NOT_FOUND, "no such path: " + exchange.getRequestPath()));
        routingHandler.setInvalidMethodHandler(exchange -> answerError(
                exchange,
                HttpReply.METHOD_NOT_ALLOWED,
                "method " + exchange.getRequestMethod() + " is not allowed here"));
    }

    /**
     * Adds a route.
     *
     * @param method the HTTP method
     * @param path the path, with names of path parameters in braces
     * @param handler handles the requests in an I/O thread and must not block; its IllegalArgumentExceptions are
     *     answered with 400
     * @return this table
     */
    public HttpRoutes on(String method, String path, Consumer<HttpCall> handler) {
        routingHandler.add(method, path, new FullBodyHandler(handler));
        return this;
    }

    /**
     * Sets the handler of requests that match no route.
     *
     * @param handler handles the requests in an I/O thread and must not block; its IllegalArgumentExceptions are
     *     answered with 400
     * @return this table
     */
    public HttpRoutes onUnmatched(Consumer<HttpCall> handler) {
        routingHandler.setFallbackHandler(new FullBodyHandler(handler));
        routingHandler.setInvalidMethodHandler(new FullBodyHandler(handler));
        return this;
    }

    private static void answerError(HttpServerExchange exchange, int status, String error) {
        HttpCall call = new HttpCall(exchange, new byte[0]);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> call.answer(HttpReply.error(status, error)));
    }

    HttpHandler handler() {
        return routingHandler;
    }

    private record FullBodyHandler(Consumer<HttpCall> handler) implements HttpHandler {

        @Override
        public void handleRequest(HttpServerExchange exchange) {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> exchange.getRequestReceiver().receiveFullBytes(this::onBodyReceived, this::onReadFailed));
        }

        private void onBodyReceived(HttpServerExchange exchange, byte[] body) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handle(new HttpCall(exchange, body)));
        }

        private void handle(HttpCall call) {
            try {
                handler.accept(call);
            } catch (IllegalArgumentException e) {
                call.answer(HttpReply.error(HttpReply.BAD_REQUEST, e.getMessage()));
            }
        }

        private void onReadFailed(HttpServerExchange exchange, IOException error) {
            boolean tooLarge =
                    error instanceof Receiver.RequestToLargeException || error instanceof RequestTooBigException;
            int status = tooLarge ? HttpReply.TOO_LARGE : HttpReply.BAD_REQUEST;
            exchange.setPersistent(false);
            new HttpCall(exchange, new byte[0])
                    .answer(HttpReply.error(status, "the body cannot be read: " + error.getMessage()));
        }
    }
}
