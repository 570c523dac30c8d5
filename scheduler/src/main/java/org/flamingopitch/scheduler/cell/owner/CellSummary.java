package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/** Writes one line about the whole cell at intervals: what runs, what waits, and what room is left. */
final class CellSummary {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final Duration INTERVAL = Duration.ofSeconds(2);

    private static final int FULL_PACE = 100;

    private static final int MILLIS_A_CORE = 1_000;

    private Instant writtenAt = Instant.MIN;

    /** Writes the line if it is due. */
    void writeIfDue(Collection<Job> jobs, Fleet fleet, long timeOfDay, Instant now) {
        if (now.isBefore(writtenAt.plus(INTERVAL))) {
            return;
        }
        writtenAt = now;
        Counts counts = new Counts();
        jobs.stream().filter(Job::open).forEach(job -> counts.addWaiting(job, timeOfDay, now));
        fleet.workers().forEach(worker -> counts.addWorker(worker, fleet.usable(worker, now)));
        LOGGER.atInfo().log(
                "event=cell_summary open=%d waiting_fill=%d waiting_fill_cores=%d waiting_other=%d running_fill=%d "
                        + "fill_cores=%d running_other=%d reserved_cores=%d cores=%d usable=%d workers=%d paced=%d",
                counts.open,
                counts.waitingFill,
                counts.waitingFillCpu / MILLIS_A_CORE,
                counts.waitingOther,
                counts.runningFill,
                counts.fillCpu / MILLIS_A_CORE,
                counts.runningOther,
                counts.reservedCpu / MILLIS_A_CORE,
                counts.cpu / MILLIS_A_CORE,
                counts.usable,
                fleet.workers().size(),
                counts.paced);
    }

    private static final class Counts {

        private int open;

        private int waitingFill;

        private long waitingFillCpu;

        private int waitingOther;

        private int runningFill;

        private long fillCpu;

        private int runningOther;

        private long reservedCpu;

        private long cpu;

        private int usable;

        private int paced;

        private void addWaiting(Job job, long timeOfDay, Instant now) {
            open++;
            job.occurrences()
                    .forEach(steps -> steps.forEach(step -> {
                        if (!step.done() && step.open(timeOfDay)) {
                            addWaiting(step.spec(), step.waitingCount(now));
                        }
                    }));
        }

        private void addWaiting(StepSpec spec, int count) {
            if (spec.fills()) {
                waitingFill += count;
                waitingFillCpu += count * spec.demand().milliCores();
            } else {
                waitingOther += count;
            }
        }

        private void addWorker(WorkerState worker, boolean isUsable) {
            if (!worker.known()) {
                return;
            }
            cpu += worker.entry().capacity().milliCores();
            reservedCpu += worker.reserved().milliCores();
            fillCpu += worker.fillCpuMillis();
            usable += isUsable ? 1 : 0;
            for (Run run : worker.runs()) {
                if (run.task().step().spec().fills()) {
                    runningFill++;
                    paced += run.pacedTo() < FULL_PACE ? 1 : 0;
                } else {
                    runningOther++;
                }
            }
        }
    }
}
