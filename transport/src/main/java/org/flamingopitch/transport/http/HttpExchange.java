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
import java.time.Duration;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Sends one request on a connection and receives its responseBody. Used only in the I/O thread of the connection. */
final class HttpExchange implements ClientCallback<ClientExchange> {

    private static final int READ_BUFFER_BYTES = 8 << 10;

    private static final int MAX_RESPONSE_BYTES = 64 << 20;

    private final HostPort address;

    private final ClientConnection connection;

    private final XnioIoThread ioThread;

    private final HttpRequest request;

    private final Consumer<HttpOutcome> handler;

    private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();

    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);

    private int status;

    private long contentLength = -1;

    private XnioExecutor.Key timeoutTimer;

    private boolean ended;

    HttpExchange(
            HostPort address,
            ClientConnection connection,
            XnioIoThread ioThread,
            HttpRequest request,
            Consumer<HttpOutcome> handler) {
        this.address = address;
        this.connection = connection;
        this.ioThread = ioThread;
        this.request = request;
        this.handler = handler;
    }

    void start() {
        ClientRequest clientRequest = new ClientRequest();
        clientRequest.setMethod(HttpString.tryFromString(request.method()));
        clientRequest.setPath(request.path());
        clientRequest.getRequestHeaders().put(Headers.HOST, address.toString());
        clientRequest.getRequestHeaders().put(Headers.CONTENT_LENGTH, request.body().length);
        if (request.body().length > 0) {
            clientRequest.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
        }
        for (HttpHeader header : request.headers()) {
            clientRequest.getRequestHeaders().put(HttpString.tryFromString(header.name()), header.value());
        }
        startTimer(request.timeout(), "no answer in time");
        connection.sendRequest(clientRequest, this);
    }

    private void startTimer(Duration limit, String detail) {
        timeoutTimer = ioThread.executeAfter(() -> fail("http.wait", detail), limit.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void onProgress() {
        if (request.progressTimeout() != null && !ended) {
            timeoutTimer.remove();
            startTimer(request.progressTimeout(), "the answer stopped after " + responseBody.size() + " bytes");
        }
    }

    @Override
    public void completed(ClientExchange exchange) {
        exchange.setResponseListener(new ResponseListener());
        ByteBuffer body = ByteBuffer.wrap(request.body());
        StreamSinkChannel channel = exchange.getRequestChannel();
        channel.getWriteSetter().set(sink -> write(sink, body));
        write(channel, body);
    }

    @Override
    public void failed(IOException error) {
        fail("http.send", error.getMessage());
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
            fail("http.send", e.getMessage());
        }
    }

    private void read(StreamSourceChannel channel) {
        try {
            int count = channel.read(readBuffer.clear());
            while (count > 0) {
                responseBody.write(readBuffer.array(), 0, count);
                if (responseBody.size() > MAX_RESPONSE_BYTES) {
                    fail("http.receive", "the answer is larger than " + MAX_RESPONSE_BYTES + " bytes");
                    return;
                }
                count = channel.read(readBuffer.clear());
            }
            if (count < 0) {
                onBodyReceived();
                return;
            }
            onProgress();
            channel.resumeReads();
        } catch (IOException e) {
            fail("http.receive", e.getMessage());
        }
    }

    private void onBodyReceived() {
        boolean isComplete = contentLength < 0 || contentLength == responseBody.size();
        if (!isComplete) {
            fail("http.receive", "the answer ends after " + responseBody.size() + " of " + contentLength + " bytes");
            return;
        }
        complete(new HttpOutcome.Answered(status, responseBody.toByteArray()));
    }

    private void fail(String step, String detail) {
        String text = detail == null ? "connection closed" : detail;
        complete(new HttpOutcome.Lost(new Failure(step, address.toString(), text)));
    }

    private void complete(HttpOutcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        timeoutTimer.remove();
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
                contentLength = Long.parseLong(length);
            }
            StreamSourceChannel channel = exchange.getResponseChannel();
            channel.getReadSetter().set(HttpExchange.this::read);
            read(channel);
        }

        @Override
        public void failed(IOException error) {
            fail("http.receive", error.getMessage());
        }
    }
}
