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

/** The paths that a server answers. */
public final class HttpRoutes {

    private final RoutingHandler routing = Handlers.routing();

    /** Creates routes that answer other paths with an error. */
    public HttpRoutes() {
        routing.setFallbackHandler(
                exchange -> refuse(exchange, HttpReply.NOT_FOUND, "no such path: " + exchange.getRequestPath()));
        routing.setInvalidMethodHandler(exchange -> refuse(
                exchange,
                HttpReply.METHOD_NOT_ALLOWED,
                "method " + exchange.getRequestMethod() + " is not allowed here"));
    }

    /**
     * Adds a path.
     *
     * @param method the method
     * @param path the path, with parameters in braces
     * @param handler receives the calls, in an I/O thread; must not block
     * @return these routes
     */
    public HttpRoutes on(String method, String path, Consumer<HttpCall> handler) {
        routing.add(method, path, new FullBodyHandler(handler));
        return this;
    }

    /**
     * Hands all requests that no path takes to one handler.
     *
     * @param handler receives the calls, in an I/O thread; must not block
     * @return these routes
     */
    public HttpRoutes otherwise(Consumer<HttpCall> handler) {
        routing.setFallbackHandler(new FullBodyHandler(handler));
        routing.setInvalidMethodHandler(new FullBodyHandler(handler));
        return this;
    }

    private static void refuse(HttpServerExchange exchange, int status, String error) {
        HttpCall call = new HttpCall(exchange, new byte[0]);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> call.answer(HttpReply.error(status, error)));
    }

    HttpHandler handler() {
        return routing;
    }

    private record FullBodyHandler(Consumer<HttpCall> handler) implements HttpHandler {

        @Override
        public void handleRequest(HttpServerExchange exchange) {
            exchange.dispatch(
                    SameThreadExecutor.INSTANCE,
                    () -> exchange.getRequestReceiver().receiveFullBytes(this::received, this::failed));
        }

        private void received(HttpServerExchange exchange, byte[] body) {
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handle(new HttpCall(exchange, body)));
        }

        private void handle(HttpCall call) {
            try {
                handler.accept(call);
            } catch (IllegalArgumentException e) {
                call.answer(HttpReply.error(HttpReply.BAD_REQUEST, e.getMessage()));
            }
        }

        private void failed(HttpServerExchange exchange, IOException error) {
            boolean tooLarge =
                    error instanceof Receiver.RequestToLargeException || error instanceof RequestTooBigException;
            int status = tooLarge ? HttpReply.TOO_LARGE : HttpReply.BAD_REQUEST;
            exchange.setPersistent(false);
            new HttpCall(exchange, new byte[0])
                    .answer(HttpReply.error(status, "the body cannot be read: " + error.getMessage()));
        }
    }
}
