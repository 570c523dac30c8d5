package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;

/**
 * The note that an owner writes in the store again and again. It extends leases only for a limited time after it sent
 * the last note that the store confirmed, and each host sees when the note changes. So a successor knows until when a
 * former owner may have extended leases: no note is written after the owner's key has changed.
 */
final class OwnerNotes {

    /** An outage of the store that begins just before the next note leaves leases shorter by this time. */
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private final LoopContext context;

    private final OwnerRecord self;

    private final Runnable onFormerNoteRead;

    private final Consumer<String> onOwnershipLost;

    /** The note that was seen last, whichever process wrote it. */
    private Sighting lastSeen = new Sighting(KeyValueRequest.ABSENT, Instant.MIN);

    /** The last note of all former owners; null until the store has returned it after the election. */
    private Sighting formerNote;

    /** The version of the owner's key under which this process writes notes, 0 while it is not the owner. */
    private long ownedVersion;

    private Instant confirmedAt = Instant.MIN;

    /** Notes sent before this time confirm nothing, as this process was suspended since. */
    private Instant suspendedUntil = Instant.MIN;

    /**
     * Creates the notes of one process.
     *
     * @param onFormerNoteRead runs when the last note of the former owners becomes known
     * @param onOwnershipLost receives the reason when the store shows that the owner's key has changed
     */
    OwnerNotes(LoopContext context, OwnerRecord self, Runnable onFormerNoteRead, Consumer<String> onOwnershipLost) {
        this.context = context;
        this.self = self;
        this.onFormerNoteRead = onFormerNoteRead;
        this.onOwnershipLost = onOwnershipLost;
    }

    /** Records an entry that the watch of the owner's keys has shown, if it is a note. */
    void observe(KeyValueEntry entry) {
        if (entry.key().equals(CellKeys.OWNER_NOTE) && entry.version() > lastSeen.version()) {
            lastSeen = new Sighting(entry.deleted() ? KeyValueRequest.ABSENT : entry.version(), context.now());
        }
    }

    /**
     * Reads the last note of the former owners, then writes the notes of this process until {@link #stop()}.
     *
     * @param version the version of the owner's key that this process wrote
     */
    void start(long version) {
        ownedVersion = version;
        formerNote = null;
        confirmedAt = Instant.MIN;
        readFormerNote(version);
    }

    void stop() {
        ownedVersion = 0;
        formerNote = null;
        confirmedAt = Instant.MIN;
    }

    /** Discards the last confirmation, because the clock of this process stood still while it was suspended. */
    void requireConfirmation() {
        confirmedAt = Instant.MIN;
        suspendedUntil = context.now();
    }

    /** Returns when the last note was sent that the store confirmed, {@link Instant#MIN} for none. */
    Instant confirmedAt() {
        return confirmedAt;
    }

    /** Reports the last note, if it is known, and if the last owner wrote it: owners of earlier versions write none. */
    void reportFormerNote(FormerOwner formerOwner, ElectionListener listener) {
        if (formerNote != null && formerNote.version() >= formerOwner.version()) {
            listener.formerNoteIdentified(formerOwner, formerNote.seenAt());
        }
    }

    /** Reads the note after the election, so that no former owner can write another one. */
    private void readFormerNote(long version) {
        context.callStore(new KeyValueRequest.Get(CellKeys.OWNER_NOTE), result -> {
            if (ownedVersion != version) {
                return;
            }
            if (result instanceof KeyValueResult.Found found) {
                observe(found.entry());
                applyFormerNote(version, lastSeen);
            } else if (result instanceof KeyValueResult.Missing) {
                applyFormerNote(version, new Sighting(KeyValueRequest.ABSENT, Instant.MIN));
            } else {
                context.schedule(RETRY_DELAY, () -> {
                    if (ownedVersion == version) {
                        readFormerNote(version);
                    }
                });
            }
        });
    }

    private void applyFormerNote(long version, Sighting note) {
        formerNote = note;
        onFormerNoteRead.run();
        write(version);
    }

    private void write(long version) {
        if (ownedVersion != version) {
            return;
        }
        Instant sentAt = context.now();
        KeyValueRequest note = new KeyValueRequest.Transaction(
                List.of(new KeyValueRequest.Condition(CellKeys.OWNER, version)),
                List.of(new KeyValueRequest.Write(
                        CellKeys.OWNER_NOTE, self.process().toString(), null)),
                List.of());
        context.callStore(note, result -> {
            if (ownedVersion == version) {
                applyWriteResult(version, sentAt, result);
            }
        });
    }

    private void applyWriteResult(long version, Instant sentAt, KeyValueResult result) {
        if (result instanceof KeyValueResult.ConditionFailed) {
            onOwnershipLost.accept("the owner's key has changed");
            return;
        }
        Duration delay = RETRY_DELAY;
        if (result instanceof KeyValueResult.Written) {
            if (sentAt.isAfter(confirmedAt) && !sentAt.isBefore(suspendedUntil)) {
                confirmedAt = sentAt;
            }
            Duration sinceSent = Duration.between(sentAt, context.now());
            delay = INTERVAL.minus(sinceSent);
        }
        context.schedule(delay.compareTo(RETRY_DELAY) < 0 ? RETRY_DELAY : delay, () -> write(version));
    }

    /**
     * A note that was seen.
     *
     * @param version its version
     * @param seenAt when this process first saw it; it was written before
     */
    record Sighting(long version, Instant seenAt) {}
}
