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
 * The settings of an entry host, as read from its settings file.
 *
 * @param name the name of the host
 * @param dataCentre the name of its data centre in the inventory
 * @param region the region of that data centre
 * @param callerAddress the listening address of the caller API
 * @param operatorAddress the listening address of the operator API
 * @param peerAddress the listening address for the other entry hosts
 * @param keyValueAddress the address of the platform's key-value service
 * @param hostListAddress the address of the platform's service that lists the hosts
 * @param oncePolicy the policy that prevents an idempotency key from running twice, or null for the default
 * @param drainSeconds the longest time in seconds that a shutdown waits until its partitions are handed over, or null
 *     for the default
 */
public record EntryHostSettings(
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
     * Reads and validates a settings file.
     *
     * @param file the path of the file
     * @return the settings
     * @throws InvalidDocumentException if the file cannot be read, is malformed or violates the schema
     */
    public static EntryHostSettings read(Path file) {
        try {
            return parse(file.toString(), Files.readString(file));
        } catch (IOException e) {
            throw new InvalidDocumentException(
                    file.toString(), List.of("cannot be read: " + e.getClass().getSimpleName()));
        }
    }

    /**
     * Parses and validates settings.
     *
     * @param name the name of the document in error messages
     * @param text the JSON document
     * @return the settings
     * @throws InvalidDocumentException if the document is malformed or violates the schema
     */
    public static EntryHostSettings parse(String name, String text) {
        SCHEMA.parseAndValidate(name, text);
        EntryHostSettings settings = JsonCodec.json().decode(text, EntryHostSettings.class);
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
     * Returns the policy that prevents an idempotency key from running twice.
     *
     * @return the configured policy, or the default
     */
    public IdempotencyPolicy effectiveOncePolicy() {
        return Optional.ofNullable(oncePolicy).orElse(IdempotencyPolicy.ADAPTIVE);
    }

    /**
     * Returns the longest time that a shutdown waits until its partitions are handed over.
     *
     * @return the configured time, or the default
     */
    public Duration drainTimeout() {
        return Duration.ofSeconds(Optional.ofNullable(drainSeconds).orElse(DEFAULT_DRAIN_SECONDS));
    }
}
