package org.flamingopitch.soak;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** An open HTTP connection of a caller, used until the host closes it or leaves a call unanswered. */
final class CallerConnection implements AutoCloseable {

    private final Socket socket = new Socket();

    private final InputStream in;

    private final int deadlineMillis;

    private boolean usable = true;

    CallerConnection(InetSocketAddress address, int deadlineMillis) throws IOException {
        this.deadlineMillis = deadlineMillis;
        try {
            socket.setTcpNoDelay(true);
            socket.connect(address, deadlineMillis);
            socket.setSoTimeout(deadlineMillis);
            in = new BufferedInputStream(socket.getInputStream());
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    /** Returns whether the host keeps the connection open for further calls. */
    boolean usable() {
        return usable;
    }

    Response call(String method, String path, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.CALLER_HOST
                + "\r\nContent-Type: application/json\r\nX-Flamingopitch-Deadline-Ms: " + deadlineMillis
                + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        request.write(head.getBytes(StandardCharsets.US_ASCII));
        request.write(bytes);
        socket.getOutputStream().write(request.toByteArray());
        return read();
    }

    private Response read() throws IOException {
        int status = Integer.parseInt(line().split(" ")[1]);
        int length = 0;
        for (String line = line(); !line.isEmpty(); line = line()) {
            String field = line.toLowerCase(Locale.ROOT).replace(" ", "");
            if (field.startsWith("content-length:")) {
                length = Integer.parseInt(field.substring("content-length:".length()));
            } else if (field.equals("connection:close")) {
                usable = false;
            } else if (field.startsWith("transfer-encoding:")) {
                throw new IOException("the answer has no length");
            }
        }
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new IOException("the answer is incomplete");
        }
        return new Response(status, body);
    }

    private String line() throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int next = in.read();
        while (next != '\n') {
            if (next < 0) {
                throw new IOException("the connection is closed");
            }
            bytes.write(next);
            next = in.read();
        }
        return bytes.toString(StandardCharsets.US_ASCII).trim();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    /**
     * The answer to a call.
     *
     * @param status the HTTP status, or 0 if there was no answer
     * @param body the body as it was received
     */
    record Response(int status, byte[] body) {}
}
