package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import org.flamingopitch.scheduler.cell.admission.AdmissionDecision;
import org.flamingopitch.scheduler.cell.admission.AdmissionInputs;
import org.flamingopitch.scheduler.cell.admission.AdmissionPolicy;
import org.flamingopitch.scheduler.cell.admission.QueueCapacity;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;

/**
 * Collects what decides the admission of a job, from the jobs that the owner knows: the work that is queued ahead of it
 * and, for a long-running job, what the others reserve. {@link AdmissionPolicy} decides.
 */
final class AdmissionControl {

    private static final double FULL_PROGRESS_PERCENT = 100;

    private AdmissionControl() {}

    /**
     * Decides on a job.
     *
     * @param capacity the work that the workers can complete for the queue each millisecond, in millicores
     * @param totalMilliCores the processor time of all workers of the queue's service, in millicores
     * @param share the share that the job's class was served, relative to all classes
     * @param boost the factor on the allowed time of the job's class
     */
    static AdmissionDecision decide(
            JobId id,
            JobSpec spec,
            QueueSpec queue,
            Collection<Job> jobs,
            long capacity,
            long totalMilliCores,
            double share,
            double boost,
            DurationEstimates estimates,
            Instant now) {
        if (spec.longRunning()) {
            return AdmissionPolicy.decideLongRunning(
                    reservedByLongRunningJobs(spec, queue, jobs), totalMilliCores, id.value());
        }
        if (spec.timed()) {
            return AdmissionPolicy.admit();
        }
        long expectedPathMillis = estimates.expectedMillis(queue.name(), spec.criticalPathMillis());
        // The objective counts work at full speed: best-effort tasks take longer than that, other tasks do not.
        long fullSpeedPathMillis = QueueCapacity.isBestEffort(spec) ? spec.criticalPathMillis() : expectedPathMillis;
        long allowedMillis = (long) (boost
                * AdmissionPolicy.MAX_DURATION_FACTOR
                * (queue.stretch() * fullSpeedPathMillis + queue.targetMillis()));
        AdmissionInputs inputs = new AdmissionInputs(
                workAhead(spec, queue, jobs, estimates, now), capacity, expectedPathMillis, allowedMillis, share);
        return AdmissionPolicy.decide(inputs, id.value());
    }

    private static long reservedByLongRunningJobs(JobSpec spec, QueueSpec queue, Collection<Job> jobs) {
        long reserved = reservedMilliCores(spec);
        for (Job job : jobs) {
            if (job.open() && job.spec().longRunning() && job.queue().service().equals(queue.service())) {
                reserved += reservedMilliCores(job.spec());
            }
        }
        return reserved;
    }

    private static long reservedMilliCores(JobSpec spec) {
        long sum = 0;
        for (StepSpec step : spec.steps()) {
            sum += step.reserved().milliCores() * step.count();
        }
        return sum;
    }

    /**
     * Returns the work that is to be done by the end of the new job, its own included, in millicores times
     * milliseconds. Each job ahead counts with at most the new job's own work, since smaller jobs are placed before
     * larger ones. Running tasks whose reservations are no part of the capacity do not count.
     */
    private static long workAhead(
            JobSpec spec, QueueSpec queue, Collection<Job> jobs, DurationEstimates estimates, Instant now) {
        long jobWork = 0;
        for (StepSpec step : spec.steps()) {
            jobWork += estimates.expectedMillis(queue.name(), step.estimateMillis())
                    * step.demand().milliCores()
                    * step.count();
        }
        boolean bestEffort = QueueCapacity.isBestEffort(spec);
        long workAhead = jobWork;
        for (Job job : jobs) {
            boolean isAhead =
                    job.open() && !job.spec().longRunning() && job.queue().priority() <= queue.priority();
            if (isAhead && JobQueueOrder.canMeetObjective(job, estimates, now)) {
                workAhead += Math.min(jobWork, remainingWork(job, queue, bestEffort, estimates, now));
            }
        }
        return workAhead;
    }

    private static long remainingWork(
            Job job, QueueSpec queue, boolean bestEffort, DurationEstimates estimates, Instant now) {
        long work = 0;
        for (Step step : job.occurrences().get(0)) {
            if (step.done()) {
                continue;
            }
            StepSpec spec = step.spec();
            boolean runsCount = !CellLoad.claim(step.tasks().get(0)).reducesCapacityFor(bestEffort, queue.priority());
            long taskMillis = estimates.expectedMillis(job.queue().name(), spec.estimateMillis());
            long stepMillis = 0;
            for (Task task : step.tasks()) {
                if (task.run() == null) {
                    stepMillis += task.done() ? 0 : taskMillis;
                } else if (runsCount) {
                    stepMillis += remainingMillis(task.run(), taskMillis, now);
                }
            }
            work += stepMillis * spec.demand().milliCores();
        }
        return work;
    }

    /**
     * Returns the expected remaining time of a run at full speed. That of a best-effort task follows from its reported
     * progress, as it may have been throttled; other tasks run at full speed, and are too short for reports to help.
     */
    static long remainingMillis(Run run, long expectedMillis, Instant now) {
        if (run.task().step().spec().fills()) {
            return (long) (expectedMillis * (1 - Math.min(1, run.progressPercent() / FULL_PROGRESS_PERCENT)));
        }
        return Math.max(
                0, expectedMillis - Duration.between(run.placedAt(), now).toMillis());
    }
}
