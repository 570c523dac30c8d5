package org.flamingopitch.daemon.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.flamingopitch.platform.PlatformSettings;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the reload of the settings after SIGHUP. */
final class SettingsReloaderTest {

    @TempDir
    private Path directory;

    private Path file;

    private SettingsReloader reloader;

    @BeforeEach
    void readInitialSettings() throws IOException {
        file = directory.resolve("settings.json");
        Files.writeString(file, settings(6));
        reloader = new SettingsReloader(file, PlatformSettings.read(file));
    }

    private static String settings(int stopSeconds) {
        return "{\"nodeName\":\"n\",\"zone\":\"z\",\"ip\":\"10.0.0.1\",\"listenAddrs\":{\"front\":\"10.0.0.1:1\","
                + "\"ready\":\"10.0.0.1:2\"},\"internalPorts\":[7,9],\"platform\":{\"address\":\"10.0.0.2:3\"},"
                + "\"bounds\":{\"maxHoldMs\":6000,\"status_s\":120,\"gangTimeoutMs\":3000,"
                + "\"stopTimeoutMs\":200,\"noticeMs\":5500,\"graceS\":" + stopSeconds + "}}";
    }

    @Test
    void newStopTimeAppliesAtOnce() throws IOException {
        Files.writeString(file, settings(4));
        reloader.reload();
        assertThat(reloader.current().stopTime()).isEqualTo(Duration.ofSeconds(4));
    }

    @Test
    void invalidFileKeepsTheFormerSettings() throws IOException {
        PlatformSettings former = reloader.current();
        Files.writeString(file, "{\"nodeName\":7}");
        reloader.reload();
        assertThat(reloader.current()).isEqualTo(former);
        Files.delete(file);
        reloader.reload();
        assertThat(reloader.current()).isEqualTo(former);
    }
}
