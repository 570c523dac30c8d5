package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.kv.KeyValueEntry;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.port.CellContext;

/** Reads what former owners have recorded; the records cannot change any more once the owner's key is won. */
final class CellLoader {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration RETRY_DELAY = Duration.ofMillis(150);

    private final CellContext context;

    private final Target target;

    private Map<JobId, JobRecord> jobs;

    private Map<JobId, ProgressRecord> progress;

    private LearnedRecord learned;

    private boolean ledgerRead;

    private long ledgerVersion;

    private boolean closed;

    CellLoader(CellContext context, Target target) {
        this.context = context;
        this.target = target;
    }

    void start() {
        readLedger();
        readJobs();
        readProgress();
        readLearned();
    }

    void close() {
        closed = true;
    }

    private void readLedger() {
        call(new KeyValueRequest.Get(CellKeys.LEDGER), this::readLedger, result -> {
            ledgerRead = true;
            ledgerVersion =
                    result instanceof KeyValueResult.Found found ? found.entry().version() : KeyValueRequest.ABSENT;
        });
    }

    private void readJobs() {
        call(new KeyValueRequest.ListPrefix(CellKeys.JOB_PREFIX), this::readJobs, result -> {
            jobs = new HashMap<>();
            for (KeyValueEntry entry : entries(result)) {
                JobId id = new JobId(entry.key().substring(CellKeys.JOB_PREFIX.length()));
                jobs.put(id, JsonCodec.compact().decode(entry.value(), JobRecord.class));
            }
        });
    }

    private void readProgress() {
        call(new KeyValueRequest.ListPrefix(CellKeys.PROGRESS_PREFIX), this::readProgress, result -> {
            progress = new HashMap<>();
            for (KeyValueEntry entry : entries(result)) {
                JobId id = new JobId(entry.key().substring(CellKeys.PROGRESS_PREFIX.length()));
                progress.put(id, JsonCodec.compact().decode(entry.value(), ProgressRecord.class));
            }
        });
    }

    private void readLearned() {
        call(new KeyValueRequest.Get(CellKeys.LEARNED), this::readLearned, result -> {
            learned = LearnedRecord.NOTHING;
            if (result instanceof KeyValueResult.Found found) {
                learned = JsonCodec.compact().decode(found.entry().value(), LearnedRecord.class);
            }
        });
    }

    private static List<KeyValueEntry> entries(KeyValueResult result) {
        return ((KeyValueResult.Listed) result).entries();
    }

    private void call(KeyValueRequest request, Runnable again, Consumer<KeyValueResult> apply) {
        if (closed) {
            return;
        }
        context.keyValue(request, result -> {
            if (closed) {
                return;
            }
            boolean usable = result instanceof KeyValueResult.Listed
                    || result instanceof KeyValueResult.Found
                    || result instanceof KeyValueResult.Missing;
            if (!usable) {
                LOGGER.atWarning().log("event=load_unanswered request=%s result=%s", request, result);
                context.schedule(RETRY_DELAY, again);
                return;
            }
            apply.accept(result);
            if (ledgerRead && jobs != null && progress != null && learned != null) {
                target.loaded(ledgerVersion, jobs, progress, learned);
            }
        });
    }

    /** Takes what was read. */
    interface Target {

        /** Everything was read. */
        void loaded(
                long ledgerVersion,
                Map<JobId, JobRecord> jobs,
                Map<JobId, ProgressRecord> progress,
                LearnedRecord learned);
    }
}
