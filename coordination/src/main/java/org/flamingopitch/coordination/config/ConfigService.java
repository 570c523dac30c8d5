package org.flamingopitch.coordination.config;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Function;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.kv.StoreWatcher;

/**
 * Watches the configuration in the key-value store and changes it by compare-and-swap. The version that is in force in
 * this process never decreases.
 *
 * @param <T> the type of the parsed configuration
 */
public final class ConfigService<T> {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private static final int MAX_ATTEMPTS = 8;

    private final LoopContext context;

    private final String key;

    private final Function<String, T> parser;

    private final String writer;

    private final List<Consumer<T>> listeners = new ArrayList<>();

    private ConfigEnvelope envelope = ConfigEnvelope.none();

    /** The version of the key in the store, as opposed to the version of the configuration in its value. */
    private long keyVersion = KeyValueRequest.ABSENT;

    private T current;

    private long proposalCount;

    /**
     * Creates the service.
     *
     * @param context the time, timers and store calls
     * @param watcher reports changes of the key
     * @param key the key of the configuration in the store
     * @param writer identifies this process in the write ids of its changes
     * @param parser parses and validates a document; throws IllegalArgumentException if it is invalid
     */
    public ConfigService(
            LoopContext context, StoreWatcher watcher, String key, String writer, Function<String, T> parser) {
        this.context = context;
        this.key = key;
        this.writer = writer;
        this.parser = parser;
        watcher.addListener(this::applyEntry);
    }

    /**
     * Adds a listener for new configurations.
     *
     * @param listener receives each parsed configuration that comes into force
     */
    public void addListener(Consumer<T> listener) {
        listeners.add(listener);
    }

    /**
     * Returns the stored form of the configuration in force.
     *
     * @return the envelope, version 0 before the first configuration
     */
    public ConfigEnvelope envelope() {
        return envelope;
    }

    /**
     * Returns the parsed configuration in force.
     *
     * @return the configuration, or null before the first one
     */
    public T current() {
        return current;
    }

    /**
     * Puts a configuration into force if its version is higher than the current one.
     *
     * @param received the envelope with the configuration
     * @throws IllegalArgumentException if the document is invalid
     */
    public void applyIfNewer(ConfigEnvelope received) {
        if (received.version() <= envelope.version()) {
            return;
        }
        T parsed = parser.apply(received.document());
        envelope = received;
        current = parsed;
        listeners.forEach(listener -> listener.accept(parsed));
    }

    /**
     * Proposes a configuration. A write whose outcome is unknown is retried; the write id shows whether it took effect.
     *
     * @param document the text of the new configuration
     * @param expectedVersion the current version, which the new one replaces
     * @param who the author of the change
     * @param handler receives the outcome exactly once
     */
    public void propose(String document, long expectedVersion, String who, Consumer<ConfigOutcome> handler) {
        try {
            parser.apply(document);
        } catch (IllegalArgumentException e) {
            handler.accept(new ConfigOutcome.Invalid(e.getMessage()));
            return;
        }
        proposalCount++;
        ConfigChange change = new ConfigChange(expectedVersion + 1, who, context.now(), writer + "/" + proposalCount);
        readStored(new Proposal(document, change, handler, MAX_ATTEMPTS));
    }

    private void readStored(Proposal proposal) {
        if (proposal.attemptsLeft() == 0) {
            Failure failure = new Failure("config.propose", key, "no answer from the key-value service");
            proposal.handler().accept(new ConfigOutcome.Undecided(failure));
            return;
        }
        context.callStore(new KeyValueRequest.Get(key), result -> handleRead(result, proposal));
    }

    private void handleRead(KeyValueResult result, Proposal proposal) {
        if (!result.answered()) {
            retry(proposal);
            return;
        }
        if (result instanceof KeyValueResult.Found found) {
            applyEntry(found.entry());
        }
        if (envelope.changes().contains(proposal.change())) {
            proposal.handler()
                    .accept(new ConfigOutcome.Accepted(proposal.change().version()));
            return;
        }
        if (envelope.version() + 1 != proposal.change().version()) {
            proposal.handler().accept(new ConfigOutcome.VersionConflict(envelope.version()));
            return;
        }
        ConfigEnvelope newEnvelope = envelope.withChange(proposal.document(), proposal.change());
        context.callStore(
                new KeyValueRequest.Put(key, JsonCodec.json().encode(newEnvelope), keyVersion, null),
                written -> handleWrite(written, newEnvelope, proposal));
    }

    private void handleWrite(KeyValueResult result, ConfigEnvelope newEnvelope, Proposal proposal) {
        if (result instanceof KeyValueResult.Written written) {
            keyVersion = Math.max(keyVersion, written.version());
            applyIfNewer(newEnvelope);
            proposal.handler().accept(new ConfigOutcome.Accepted(newEnvelope.version()));
            return;
        }
        retry(proposal);
    }

    private void retry(Proposal proposal) {
        context.schedule(RETRY_DELAY, () -> readStored(proposal.forNextAttempt()));
    }

    private void applyEntry(KeyValueEntry entry) {
        if (!entry.key().equals(key) || entry.deleted() || entry.version() < keyVersion) {
            return;
        }
        keyVersion = entry.version();
        try {
            applyIfNewer(JsonCodec.json().decode(entry.value(), ConfigEnvelope.class));
        } catch (IllegalArgumentException e) {
            LOGGER.atSevere().log(
                    "event=configuration_unreadable key=%s version=%d detail=\"%s\"",
                    entry.key(), entry.version(), e.getMessage());
        }
    }

    private record Proposal(String document, ConfigChange change, Consumer<ConfigOutcome> handler, int attemptsLeft) {
        Proposal forNextAttempt() {
            return new Proposal(document, change, handler, attemptsLeft - 1);
        }
    }
}
