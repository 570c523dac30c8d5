package org.flamingopitch.soak;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Clock;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that the proxy injects the faults that it reports, and ends them. */
@Timeout(60)
final class LoopbackProxyTest {

    private static final int SHORT_MILLIS = 200;

    private static final int LONG_MILLIS = 30_000;

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private ServerSocket listener;

    private LoopbackProxy proxy;

    private Socket client;

    private Socket server;

    @BeforeEach
    void connect() throws IOException {
        listener = new ServerSocket(0, 0, InetAddress.getLoopbackAddress());
        proxy = new LoopbackProxy(new Timeline(System::nanoTime, Clock.systemUTC()), threads, listener::getLocalPort);
        proxy.start();
        client = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
        server = listener.accept();
        assertPasses(client, server);
        assertPasses(server, client);
    }

    @AfterEach
    void close() throws IOException {
        proxy.stop();
        client.close();
        server.close();
        listener.close();
        threads.shutdownNow();
    }

    @Test
    void cutRequestsArriveAfterTheFaultAlthoughTheirSenderHasGivenUp() throws IOException {
        proxy.apply(LinkFault.CUT_REQUESTS);
        client.getOutputStream().write(1);
        assertHeld(server);
        assertPasses(server, client);
        client.close();
        proxy.apply(LinkFault.NONE);
        server.setSoTimeout(LONG_MILLIS);
        assertThat(server.getInputStream().read()).isEqualTo(1);
    }

    @Test
    void cutAnswersAreHeldWhileRequestsPass() throws IOException {
        proxy.apply(LinkFault.CUT_ANSWERS);
        server.getOutputStream().write(1);
        assertHeld(client);
        assertPasses(client, server);
        proxy.apply(LinkFault.NONE);
        client.setSoTimeout(LONG_MILLIS);
        assertThat(client.getInputStream().read()).isEqualTo(1);
    }

    @Test
    void silentLinkHoldsBothDirections() throws IOException {
        proxy.apply(LinkFault.SILENCE);
        client.getOutputStream().write(1);
        server.getOutputStream().write(1);
        assertHeld(server);
        assertHeld(client);
    }

    @Test
    void resetBreaksTheOpenConnection() throws IOException {
        proxy.apply(LinkFault.RESET);
        client.setSoTimeout(LONG_MILLIS);
        assertThatThrownBy(() -> client.getInputStream().read()).isInstanceOf(SocketException.class);
    }

    @Test
    void answerBeforeTheEndOfAConnectionIsDelivered() throws IOException {
        server.getOutputStream().write(new byte[100_000]);
        server.close();
        assertThat(client.getInputStream().readAllBytes()).hasSize(100_000);
    }

    private static void assertPasses(Socket from, Socket to) throws IOException {
        to.setSoTimeout(LONG_MILLIS);
        from.getOutputStream().write(2);
        assertThat(to.getInputStream().read()).isEqualTo(2);
    }

    private static void assertHeld(Socket to) throws IOException {
        to.setSoTimeout(SHORT_MILLIS);
        assertThatThrownBy(() -> to.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
    }
}
