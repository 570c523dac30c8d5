package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/** Logs the running tasks, the waiting tasks and the processor time of the cell every {@link #LOG_INTERVAL}. */
final class CellSummaryLogger {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration LOG_INTERVAL = Duration.ofSeconds(2);

    private static final int FULL_SPEED_PERCENT = 100;

    private static final int MILLICORES_PER_CORE = 1_000;

    private Instant lastLoggedAt = Instant.MIN;

    /** Logs the line if the interval has passed. */
    void logIfDue(Collection<Job> jobs, WorkerRegistry workerRegistry, long timeOfDayMillis, Instant now) {
        if (now.isBefore(lastLoggedAt.plus(LOG_INTERVAL))) {
            return;
        }
        lastLoggedAt = now;
        Counts counts = new Counts();
        jobs.stream().filter(Job::open).forEach(job -> counts.addWaiting(job, timeOfDayMillis, now));
        workerRegistry.workers().forEach(worker -> counts.addWorker(worker, workerRegistry.usable(worker, now)));
        LOGGER.atInfo().log(
                "event=cell_summary open=%d waiting_fill=%d waiting_fill_cores=%d waiting_other=%d running_fill=%d "
                        + "fill_cores=%d running_other=%d reserved_cores=%d cores=%d usable=%d workers=%d paced=%d",
                counts.openJobs,
                counts.waitingBestEffort,
                counts.waitingBestEffortMilliCores / MILLICORES_PER_CORE,
                counts.waitingOther,
                counts.runningBestEffort,
                counts.bestEffortMilliCores / MILLICORES_PER_CORE,
                counts.runningOther,
                counts.reservedMilliCores / MILLICORES_PER_CORE,
                counts.totalMilliCores / MILLICORES_PER_CORE,
                counts.usableWorkers,
                workerRegistry.workers().size(),
                counts.throttled);
    }

    private static final class Counts {

        private int openJobs;

        private int waitingBestEffort;

        private long waitingBestEffortMilliCores;

        private int waitingOther;

        private int runningBestEffort;

        private long bestEffortMilliCores;

        private int runningOther;

        private long reservedMilliCores;

        private long totalMilliCores;

        private int usableWorkers;

        private int throttled;

        private void addWaiting(Job job, long timeOfDayMillis, Instant now) {
            openJobs++;
            job.occurrences()
                    .forEach(steps -> steps.forEach(step -> {
                        if (!step.done() && step.ready(timeOfDayMillis)) {
                            addWaiting(step.spec(), step.waitingCount(now));
                        }
                    }));
        }

        private void addWaiting(StepSpec spec, int count) {
            if (spec.fills()) {
                waitingBestEffort += count;
                waitingBestEffortMilliCores += count * spec.demand().milliCores();
            } else {
                waitingOther += count;
            }
        }

        private void addWorker(WorkerState worker, boolean isUsable) {
            if (!worker.registered()) {
                return;
            }
            totalMilliCores += worker.entry().capacity().milliCores();
            reservedMilliCores += worker.reserved().milliCores();
            bestEffortMilliCores += worker.bestEffortMilliCores();
            usableWorkers += isUsable ? 1 : 0;
            for (Run run : worker.runs()) {
                if (run.task().step().spec().fills()) {
                    runningBestEffort++;
                    throttled += run.throttledToPercent() < FULL_SPEED_PERCENT ? 1 : 0;
                } else {
                    runningOther++;
                }
            }
        }
    }
}
