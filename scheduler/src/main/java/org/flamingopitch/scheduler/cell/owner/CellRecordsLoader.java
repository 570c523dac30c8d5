package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.ConfigurationSource;

/**
 * Loads the records that former owners committed. They no longer change, since commits require the owner's key. Loads also
 * the configuration, which is then at least as new as any that a former owner acted on.
 */
final class CellRecordsLoader {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration RETRY_DELAY = Duration.ofMillis(150);

    private final CellContext context;

    private final BiConsumer<KeyValueEntry, Optional<KeyValueEntry>> ledgerHandler;

    private final Consumer<CellConfiguration> configurationListener;

    private final Listener listener;

    private Map<JobId, JobRecord> jobs;

    private Map<JobId, Map<Integer, ProgressRecord>> progress;

    private LearnedRecord learnedStatistics;

    /** The ledger entry, empty if there is none; null before it is read. */
    private Optional<KeyValueEntry> ledger;

    /** The entry that names the former owners, empty if there is none; null before it is read. */
    private Optional<KeyValueEntry> formerOwners;

    /** The newest configuration, empty if there is none that can be read; null before it is read. */
    private Optional<CellConfiguration> configuration;

    private boolean closed;

    /**
     * Creates a loader.
     *
     * @param ledgerHandler receives the ledger entry and the one that names the former owners as soon as both are read,
     *     unless there is no ledger entry
     * @param configurationListener receives the configuration, before the records
     * @param listener receives the records
     */
    CellRecordsLoader(
            CellContext context,
            BiConsumer<KeyValueEntry, Optional<KeyValueEntry>> ledgerHandler,
            Consumer<CellConfiguration> configurationListener,
            Listener listener) {
        this.context = context;
        this.ledgerHandler = ledgerHandler;
        this.configurationListener = configurationListener;
        this.listener = listener;
    }

    void start() {
        readLedger();
        readFormerOwners();
        readJobs();
        readProgress();
        readLearned();
        context.configurationSource().ifPresentOrElse(this::readConfiguration, () -> configuration = Optional.empty());
    }

    void close() {
        closed = true;
    }

    private void readLedger() {
        read(new KeyValueRequest.Get(CellKeys.LEDGER), this::readLedger, result -> {
            ledger = entry(result);
            handleLedger();
        });
    }

    private void readFormerOwners() {
        read(new KeyValueRequest.Get(CellKeys.FORMER_OWNERS), this::readFormerOwners, result -> {
            formerOwners = entry(result);
            handleLedger();
        });
    }

    private static Optional<KeyValueEntry> entry(KeyValueResult result) {
        return result instanceof KeyValueResult.Found found ? Optional.of(found.entry()) : Optional.empty();
    }

    private void handleLedger() {
        if (ledger != null && formerOwners != null) {
            ledger.ifPresent(entry -> ledgerHandler.accept(entry, formerOwners));
        }
    }

    private void readJobs() {
        Map<JobId, JobRecord> loaded = new LinkedHashMap<>();
        readPage(
                CellKeys.JOB_PREFIX,
                "",
                entry -> decode(
                        entry,
                        JobRecord.class,
                        record -> loaded.put(CellKeys.jobOf(entry.key()), record.requireRestorable())),
                () -> jobs = loaded);
    }

    /**
     * Reads a page of a list and all pages after it. A page without an answer is read again alone; the pages before it
     * need not, as the records do not change.
     */
    private void readPage(String prefix, String after, Consumer<KeyValueEntry> onEntry, Runnable onComplete) {
        Runnable retry = () -> readPage(prefix, after, onEntry, onComplete);
        read(new KeyValueRequest.ListPage(prefix, after), retry, result -> {
            KeyValueResult.Listed page = (KeyValueResult.Listed) result;
            page.entries().forEach(onEntry);
            if (page.complete()) {
                onComplete.run();
            } else {
                readPage(prefix, page.lastKey(), onEntry, onComplete);
            }
        });
    }

    private void readProgress() {
        Map<JobId, Map<Integer, ProgressRecord>> loaded = new LinkedHashMap<>();
        readPage(
                CellKeys.PROGRESS_PREFIX,
                "",
                entry -> decode(
                        entry,
                        ProgressRecord.class,
                        record -> loaded.computeIfAbsent(CellKeys.progressJobOf(entry.key()), id -> new TreeMap<>())
                                .put(CellKeys.progressPartOf(entry.key()), record)),
                () -> progress = loaded);
    }

    /** Decodes the record in an entry; one that cannot be read is left in the store and does not block the takeover. */
    private static <T> void decode(KeyValueEntry entry, Class<T> type, Consumer<T> handler) {
        try {
            handler.accept(JsonCodec.compact().decode(entry.value(), type));
        } catch (IllegalArgumentException e) {
            LOGGER.atSevere().log(
                    "event=record_unreadable key=%s version=%d detail=\"%s\"",
                    entry.key(), entry.version(), e.getMessage());
        }
    }

    private void readLearned() {
        read(new KeyValueRequest.Get(CellKeys.LEARNED), this::readLearned, result -> {
            learnedStatistics = LearnedRecord.EMPTY;
            if (result instanceof KeyValueResult.Found found) {
                decode(found.entry(), LearnedRecord.class, record -> learnedStatistics = record);
            }
        });
    }

    private void readConfiguration(ConfigurationSource source) {
        read(
                new KeyValueRequest.Get(source.key()),
                () -> readConfiguration(source),
                result ->
                        configuration = entry(result).map(KeyValueEntry::value).flatMap(source::decode));
    }

    private void read(KeyValueRequest request, Runnable retry, Consumer<KeyValueResult> onResult) {
        if (closed) {
            return;
        }
        context.callStore(request, result -> {
            if (closed) {
                return;
            }
            boolean answered = result instanceof KeyValueResult.Listed
                    || result instanceof KeyValueResult.Found
                    || result instanceof KeyValueResult.Missing;
            if (!answered) {
                LOGGER.atWarning().log("event=load_unanswered request=%s result=%s", request, result);
                context.schedule(RETRY_DELAY, retry);
                return;
            }
            onResult.accept(result);
            if (complete()) {
                long ledgerVersion = ledger.map(KeyValueEntry::version).orElse(KeyValueRequest.ABSENT);
                configuration.ifPresent(configurationListener);
                listener.onLoaded(ledgerVersion, jobs, progress, learnedStatistics);
            }
        });
    }

    private boolean complete() {
        boolean ledgerRead = ledger != null && formerOwners != null;
        return ledgerRead && jobs != null && progress != null && learnedStatistics != null && configuration != null;
    }

    /** Receives the records once all are read. */
    interface Listener {

        /**
         * Receives the records of the cell.
         *
         * @param ledgerVersion the version of the ledger entry, {@link KeyValueRequest#ABSENT} if there is none
         * @param jobs the submissions
         * @param progress the parts of the progress of jobs of which a task was started or which have ended
         * @param learnedStatistics the learned statistics
         */
        void onLoaded(
                long ledgerVersion,
                Map<JobId, JobRecord> jobs,
                Map<JobId, Map<Integer, ProgressRecord>> progress,
                LearnedRecord learnedStatistics);
    }
}
