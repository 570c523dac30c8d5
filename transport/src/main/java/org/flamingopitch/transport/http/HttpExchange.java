package org.flamingopitch.transport.http;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One request and its answer on a connection. */
final class HttpExchange implements ClientCallback<ClientExchange> {

    private static final int READ_BYTES = 8 << 10;

    private static final int MAX_ANSWER_BYTES = 64 << 20;

    private final HostPort address;

    private final ClientConnection connection;

    private final XnioIoThread ioThread;

    private final HttpOrder order;

    private final Consumer<HttpOutcome> handler;

    private final ByteArrayOutputStream answer = new ByteArrayOutputStream();

    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BYTES);

    private int status;

    private long expectedBytes = -1;

    private XnioExecutor.Key timeout;

    private boolean ended;

    HttpExchange(
            HostPort address,
            ClientConnection connection,
            XnioIoThread ioThread,
            HttpOrder order,
            Consumer<HttpOutcome> handler) {
        this.address = address;
        this.connection = connection;
        this.ioThread = ioThread;
        this.order = order;
        this.handler = handler;
    }

    void start() {
        ClientRequest request = new ClientRequest();
        request.setMethod(HttpString.tryFromString(order.method()));
        request.setPath(order.path());
        request.getRequestHeaders().put(Headers.HOST, address.toString());
        request.getRequestHeaders().put(Headers.CONTENT_LENGTH, order.body().length);
        if (order.body().length > 0) {
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        }
        for (HttpHeader header : order.headers()) {
            request.getRequestHeaders().put(HttpString.tryFromString(header.name()), header.value());
        }
        timeout = ioThread.executeAfter(
                () -> lost("http.wait", "no answer in time"), order.timeout().toMillis(), TimeUnit.MILLISECONDS);
        connection.sendRequest(request, this);
    }

    @Override
    public void completed(ClientExchange exchange) {
        exchange.setResponseListener(new ResponseListener());
        ByteBuffer body = ByteBuffer.wrap(order.body());
        StreamSinkChannel channel = exchange.getRequestChannel();
        channel.getWriteSetter().set(sink -> write(sink, body));
        write(channel, body);
    }

    @Override
    public void failed(IOException error) {
        lost("http.send", error.getMessage());
    }

    private void write(StreamSinkChannel channel, ByteBuffer body) {
        try {
            while (body.hasRemaining()) {
                if (channel.write(body) == 0) {
                    channel.resumeWrites();
                    return;
                }
            }
            channel.shutdownWrites();
            if (!channel.flush()) {
                channel.resumeWrites();
            } else {
                channel.suspendWrites();
            }
        } catch (IOException e) {
            lost("http.send", e.getMessage());
        }
    }

    private void read(StreamSourceChannel channel) {
        try {
            int count = channel.read(readBuffer.clear());
            while (count > 0) {
                answer.write(readBuffer.array(), 0, count);
                if (answer.size() > MAX_ANSWER_BYTES) {
                    lost("http.receive", "the answer is larger than " + MAX_ANSWER_BYTES + " bytes");
                    return;
                }
                count = channel.read(readBuffer.clear());
            }
            if (count < 0) {
                received();
                return;
            }
            channel.resumeReads();
        } catch (IOException e) {
            lost("http.receive", e.getMessage());
        }
    }

    private void received() {
        boolean whole = expectedBytes < 0 || expectedBytes == answer.size();
        if (!whole) {
            lost("http.receive", "the answer ends after " + answer.size() + " of " + expectedBytes + " bytes");
            return;
        }
        end(new HttpOutcome.Answered(status, answer.toByteArray()));
    }

    private void lost(String step, String detail) {
        String text = detail == null ? "connection closed" : detail;
        end(new HttpOutcome.Lost(new Failure(step, address.toString(), text)));
    }

    private void end(HttpOutcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        timeout.remove();
        try {
            ioThread.execute(() -> handler.accept(outcome));
        } catch (RejectedExecutionException e) {
            handler.accept(outcome);
        }
    }

    private final class ResponseListener implements ClientCallback<ClientExchange> {

        @Override
        public void completed(ClientExchange exchange) {
            status = exchange.getResponse().getResponseCode();
            String length = exchange.getResponse().getResponseHeaders().getFirst(Headers.CONTENT_LENGTH);
            if (length != null) {
                expectedBytes = Long.parseLong(length);
            }
            StreamSourceChannel channel = exchange.getResponseChannel();
            channel.getReadSetter().set(HttpExchange.this::read);
            read(channel);
        }

        @Override
        public void failed(IOException error) {
            lost("http.receive", error.getMessage());
        }
    }
}
