package org.flamingopitch.coordination.config;

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
 * Follows the configuration and accepts changes.
 *
 * @param <T> the parsed configuration
 */
public final class ConfigService<T> {

    private static final Duration RETRY_DELAY = Duration.ofMillis(200);

    private static final int MAX_ATTEMPTS = 8;

    private final LoopContext context;

    private final String key;

    private final Function<String, T> parser;

    private final String writer;

    private final List<Consumer<T>> listeners = new ArrayList<>();

    private ConfigEnvelope envelope = ConfigEnvelope.none();

    private long storeVersion = KeyValueRequest.ABSENT;

    private T current;

    private long writes;

    /**
     * Creates the service.
     *
     * @param context the loop
     * @param watcher follows the key
     * @param key the store's key of the configuration
     * @param writer names this process in its writes
     * @param parser parses and checks a document, throws IllegalArgumentException for an invalid one
     */
    public ConfigService(
            LoopContext context, StoreWatcher watcher, String key, String writer, Function<String, T> parser) {
        this.context = context;
        this.key = key;
        this.writer = writer;
        this.parser = parser;
        watcher.listen(this::applyEntry);
    }

    /**
     * Adds a listener for new configurations.
     *
     * @param listener receives each configuration that comes into force
     */
    public void listen(Consumer<T> listener) {
        listeners.add(listener);
    }

    /**
     * Returns the configuration in force with its changes.
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
     * Accepts an envelope that a peer passed on, if it is newer.
     *
     * @param offered the envelope
     */
    public void offer(ConfigEnvelope offered) {
        if (offered.version() <= envelope.version()) {
            return;
        }
        T parsed = parser.apply(offered.document());
        envelope = offered;
        current = parsed;
        listeners.forEach(listener -> listener.accept(parsed));
    }

    /**
     * Proposes a configuration.
     *
     * @param document the document
     * @param expectedVersion the version that it replaces
     * @param who who proposes it
     * @param handler receives the outcome exactly once
     */
    public void propose(String document, long expectedVersion, String who, Consumer<ConfigOutcome> handler) {
        try {
            parser.apply(document);
        } catch (IllegalArgumentException e) {
            handler.accept(new ConfigOutcome.Invalid(e.getMessage()));
            return;
        }
        writes++;
        ConfigChange change = new ConfigChange(expectedVersion + 1, who, context.now(), writer + "/" + writes);
        read(new Proposal(document, change, handler, MAX_ATTEMPTS));
    }

    private void read(Proposal proposal) {
        if (proposal.attemptsLeft() == 0) {
            Failure failure = new Failure("config.propose", key, "no answer from the key-value service");
            proposal.handler().accept(new ConfigOutcome.Undecided(failure));
            return;
        }
        context.keyValue(new KeyValueRequest.Get(key), result -> applyRead(result, proposal));
    }

    private void applyRead(KeyValueResult result, Proposal proposal) {
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
        ConfigEnvelope next = envelope.next(proposal.document(), proposal.change());
        context.keyValue(
                new KeyValueRequest.Put(key, JsonCodec.json().encode(next), storeVersion, null),
                written -> applyWritten(written, next, proposal));
    }

    private void applyWritten(KeyValueResult result, ConfigEnvelope next, Proposal proposal) {
        if (result instanceof KeyValueResult.Written written) {
            storeVersion = Math.max(storeVersion, written.version());
            offer(next);
            proposal.handler().accept(new ConfigOutcome.Accepted(next.version()));
            return;
        }
        retry(proposal);
    }

    private void retry(Proposal proposal) {
        context.schedule(RETRY_DELAY, () -> read(proposal.retried()));
    }

    private void applyEntry(KeyValueEntry entry) {
        if (!entry.key().equals(key) || entry.deleted() || entry.version() < storeVersion) {
            return;
        }
        storeVersion = entry.version();
        offer(JsonCodec.json().decode(entry.value(), ConfigEnvelope.class));
    }

    private record Proposal(String document, ConfigChange change, Consumer<ConfigOutcome> handler, int attemptsLeft) {
        Proposal retried() {
            return new Proposal(document, change, handler, attemptsLeft - 1);
        }
    }
}
