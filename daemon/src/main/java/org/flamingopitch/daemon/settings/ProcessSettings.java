package org.flamingopitch.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.once.IdempotencyPolicy;
import org.flamingopitch.transport.http.HostPort;

/**
 * The settings of an entry host.
 *
 * @param name the host's name
 * @param dataCentre its data centre
 * @param region its region
 * @param callerAddress where callers are served
 * @param operatorAddress where operators are served
 * @param peerAddress where the other entry hosts reach this one
 * @param keyValueAddress the platform's key-value service
 * @param hostListAddress the platform's list of hosts
 * @param oncePolicy how keys are kept from running twice, or null for the default
 * @param drainSeconds how long a shutdown waits for hand-overs, or null for the default
 */
public record ProcessSettings(
        String name,
        String dataCentre,
        String region,
        String callerAddress,
        String operatorAddress,
        String peerAddress,
        String keyValueAddress,
        String hostListAddress,
        IdempotencyPolicy oncePolicy,
        Integer drainSeconds) {

    private static final DocumentSchema SCHEMA = new DocumentSchema("settings.schema.json");

    private static final int DEFAULT_DRAIN_SECONDS = 20;

    /**
     * Reads settings from a file.
     *
     * @param file the file
     * @return the settings
     * @throws DocumentException if the file cannot be read or is not valid
     */
    public static ProcessSettings read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new DocumentException(
                    file.toString(), List.of("cannot be read: " + e.getClass().getSimpleName()));
        }
    }

    /**
     * Parses settings.
     *
     * @param name the document's name for errors
     * @param text the document
     * @return the settings
     * @throws DocumentException if the document is not valid
     */
    public static ProcessSettings parse(String name, String text) {
        SCHEMA.read(name, text);
        ProcessSettings settings = JsonCodec.json().decode(text, ProcessSettings.class);
        List.of(
                        settings.callerAddress,
                        settings.operatorAddress,
                        settings.peerAddress,
                        settings.keyValueAddress,
                        settings.hostListAddress)
                .forEach(HostPort::parse);
        return settings;
    }

    /**
     * Returns the policy for idempotency keys.
     *
     * @return the policy
     */
    public IdempotencyPolicy effectiveOncePolicy() {
        return Optional.ofNullable(oncePolicy).orElse(IdempotencyPolicy.ADAPTIVE);
    }

    /**
     * Returns how long a shutdown waits for hand-overs.
     *
     * @return the duration
     */
    public Duration drainTime() {
        return Duration.ofSeconds(Optional.ofNullable(drainSeconds).orElse(DEFAULT_DRAIN_SECONDS));
    }
}
