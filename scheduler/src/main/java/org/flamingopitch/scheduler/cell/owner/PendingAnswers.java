package org.flamingopitch.scheduler.cell.owner;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.cell.model.JobId;

/** The callers that wait until a change of their job is durable. Each is answered once. */
final class PendingAnswers {

    private final Map<JobId, List<Consumer<JobAnswer>>> callers = new LinkedHashMap<>();

    /**
     * Adds a caller.
     *
     * @param answer the answer when the change is durable
     * @return gives that answer, unless the caller has got another one before
     */
    Runnable add(JobId job, Consumer<JobAnswer> caller, JobAnswer answer) {
        callers.computeIfAbsent(job, id -> new ArrayList<>()).add(caller);
        return () -> {
            if (remove(job, caller)) {
                caller.accept(answer);
            }
        };
    }

    private boolean remove(JobId job, Consumer<JobAnswer> caller) {
        List<Consumer<JobAnswer>> waiting = callers.getOrDefault(job, List.of());
        boolean removed = waiting.remove(caller);
        if (removed && waiting.isEmpty()) {
            callers.remove(job);
        }
        return removed;
    }

    /** Gives all callers that wait for a job the same answer. */
    void answer(JobId job, JobAnswer answer) {
        List<Consumer<JobAnswer>> waiting = callers.remove(job);
        if (waiting != null) {
            waiting.forEach(caller -> caller.accept(answer));
        }
    }

    /** Tells all callers that the outcome is unknown, as the ownership ends. */
    void close() {
        List.copyOf(callers.keySet()).forEach(job -> answer(job, new JobAnswer.InDoubt()));
    }
}
