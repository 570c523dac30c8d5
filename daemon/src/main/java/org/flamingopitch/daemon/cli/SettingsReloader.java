package org.flamingopitch.daemon.cli;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import org.flamingopitch.platform.PlatformSettings;

/**
 * Reads the settings file again when the platform says that it has changed. The stop time applies at once; all other
 * settings apply at the next start. An unreadable or invalid file changes nothing.
 */
final class SettingsReloader {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Path file;

    private volatile PlatformSettings current;

    /**
     * Creates a reloader.
     *
     * @param file the settings file
     * @param initial the settings that the process was started with
     */
    SettingsReloader(Path file, PlatformSettings initial) {
        this.file = file;
        this.current = initial;
    }

    /** Returns the settings in force. */
    PlatformSettings current() {
        return current;
    }

    /** Reads the file and keeps the former settings if it is invalid. */
    void reload() {
        PlatformSettings next;
        try {
            next = PlatformSettings.read(file);
        } catch (IllegalArgumentException e) {
            LOGGER.atSevere().log("event=settings_rejected file=%s detail=\"%s\"", file, e.getMessage());
            return;
        }
        boolean changed = !next.equals(current);
        LOGGER.atInfo().log(
                "event=settings_reloaded changed=%s stop_ms=%d",
                changed, next.stopTime().toMillis());
        current = current.withStopTime(next.stopTime());
    }
}
