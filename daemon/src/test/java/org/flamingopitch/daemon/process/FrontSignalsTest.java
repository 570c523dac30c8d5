package org.flamingopitch.daemon.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests how the program for the users' platform reacts to signals; its store cannot be reached. */
final class FrontSignalsTest {

    @Test
    @Timeout(120)
    void processReloadsItsSettingsAtSighupAndGoesOn(@TempDir Path folder) throws IOException {
        Path settings = folder.resolve("settings.json");
        String validSettings = settings();
        Files.writeString(settings, validSettings);
        try (ChildProcess front =
                ChildProcess.start(folder.resolve("front.log"), "front", "--settings", settings.toString())) {
            awaitEvent(front, "started");
            front.sendSignal("HUP");
            assertThat(awaitEvent(front, "settings_reloaded")).contains("changed=false");
            Files.writeString(settings, "{\"nodeName\":7}");
            front.sendSignal("HUP");
            assertThat(awaitEvent(front, "settings_rejected")).contains("detail=");
            Files.writeString(settings, validSettings);
            front.sendSignal("HUP");
            assertThat(awaitEvent(front, "settings_reloaded")).contains("changed=false");
        }
    }

    @Test
    @Timeout(120)
    void processLogsItsEndAfterSigterm(@TempDir Path folder) throws IOException, InterruptedException {
        Path settings = folder.resolve("settings.json");
        Files.writeString(settings, settings());
        try (ChildProcess front =
                ChildProcess.start(folder.resolve("front.log"), "front", "--settings", settings.toString())) {
            awaitEvent(front, "started");
            front.sendSignal("TERM");
            assertThat(awaitLine(front, "event=draining")).contains("owner=false");
            assertThat(awaitLine(front, "event=stopped")).contains("unanswered=0");
            assertThat(front.awaitExit()).isZero();
        }
    }

    private static String awaitLine(ChildProcess process, String text) {
        String line = process.readLine();
        while (!line.contains(text)) {
            line = process.readLine();
        }
        return line;
    }

    private static String awaitEvent(ChildProcess process, String event) {
        String line = process.readLine();
        while (!line.contains("event=" + event + " ")) {
            assertThat(line).doesNotContain("event=draining");
            line = process.readLine();
        }
        return line;
    }

    private static String settings() throws IOException {
        int callers = freePort();
        return "{\"nodeName\":\"n\",\"zone\":\"z\",\"ip\":\"127.0.0.1\",\"listenAddrs\":{\"front\":\"127.0.0.1:"
                + callers + "\",\"ready\":\"127.0.0.1:" + freePort() + "\"},\"internalPorts\":[" + freePort()
                + ",0],\"platform\":{\"address\":\"127.0.0.1:" + freePort() + "\"},"
                + "\"bounds\":{\"maxHoldMs\":6000,\"status_s\":120,\"gangTimeoutMs\":3000,"
                + "\"stopTimeoutMs\":200,\"noticeMs\":5500,\"graceS\":6}}";
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }
}
