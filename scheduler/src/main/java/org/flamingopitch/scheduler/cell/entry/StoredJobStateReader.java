package org.flamingopitch.scheduler.cell.entry;

import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.owner.CellKeys;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.StoredProgress;

/** Reads a job's state from the store when the cell's owner does not answer. */
final class StoredJobStateReader {

    private StoredJobStateReader() {}

    static void read(LoopContext context, JobId id, Consumer<Optional<JobAnswer>> handler) {
        context.callStore(new KeyValueRequest.Get(CellKeys.progress(id)), result -> {
            if (result instanceof KeyValueResult.Found found) {
                handler.accept(Optional.of(
                        new JobAnswer.State(StoredProgress.state(found.entry().value()))));
            } else if (result instanceof KeyValueResult.Missing) {
                readSubmission(context, id, handler);
            } else {
                handler.accept(Optional.empty());
            }
        });
    }

    private static void readSubmission(LoopContext context, JobId id, Consumer<Optional<JobAnswer>> handler) {
        context.callStore(new KeyValueRequest.Get(CellKeys.job(id)), result -> {
            if (result instanceof KeyValueResult.Found) {
                handler.accept(Optional.of(new JobAnswer.State(StoredProgress.stateWithoutProgress())));
            } else if (result instanceof KeyValueResult.Missing) {
                handler.accept(Optional.of(new JobAnswer.Unknown()));
            } else {
                handler.accept(Optional.empty());
            }
        });
    }
}
