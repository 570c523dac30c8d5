package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.flamingopitch.scheduler.cell.admission.ServiceShares;
import org.flamingopitch.scheduler.cell.admission.SizeClass;
import org.flamingopitch.scheduler.cell.feature.FeatureGate;
import org.flamingopitch.scheduler.cell.feature.FeatureGates;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.QueueName;

/**
 * Counts the outcomes of jobs with short tasks in {@link ServiceShares}, each job once: when it is rejected for the first
 * time, when it ends, or when its objective passes. Jobs whose outcome is open are not counted, since a class with longer
 * jobs would look as if it was served less.
 */
final class JobShares {

    /** Rejected jobs that are remembered, so that their retries are not counted again. */
    private static final int MAX_REJECTED_JOBS = 2_000;

    private final ServiceShares shares;

    private final AverageJobWork averageWork;

    private final Map<JobId, SizeClass> rejected = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<JobId, SizeClass> eldest) {
            return size() > MAX_REJECTED_JOBS;
        }
    };

    private final boolean enabled;

    JobShares(ServiceShares shares, AverageJobWork averageWork) {
        this(shares, averageWork, FeatureGates.ALL_ON);
    }

    JobShares(ServiceShares shares, AverageJobWork averageWork, FeatureGates gates) {
        this.shares = shares;
        this.averageWork = averageWork;
        this.enabled = gates.on(FeatureGate.SERVICE_SHARES);
    }

    /** Returns the size class of a submitted job. */
    SizeClass classify(JobId id, QueueName queue, JobSpec spec) {
        SizeClass known = rejected.get(id);
        return known == null ? shares.classify(queue, spec.estimatedWork()) : known;
    }

    /** Returns the share that the jobs of a class were served, relative to all. */
    double share(QueueName queue, SizeClass sizeClass) {
        return enabled ? shares.share(queue, sizeClass) : 1;
    }

    /** Returns the factor on the allowed time of a job's class. */
    double boost(QueueName queue, SizeClass sizeClass) {
        return enabled ? shares.boost(queue, sizeClass) : 1;
    }

    /** Counts a rejected job. */
    void onRejected(JobId id, QueueName queue, JobSpec spec, SizeClass sizeClass, Instant now) {
        if (counts(spec) && rejected.put(id, sizeClass) == null) {
            shares.add(queue, sizeClass, JobQueueOrder.value(spec.estimatedWork(), averageWork.of(queue)), false, now);
        }
    }

    /** Takes note of the class of a job that has been admitted. */
    void onAdmitted(Job job, SizeClass sizeClass) {
        job.setSizeClass(sizeClass);
        if (rejected.remove(job.id()) != null) {
            // Its first rejection is counted already.
            job.markOutcomeCounted();
        }
    }

    /** Takes note of a job that was restored; the former owner has counted it if its outcome was known. */
    void onRestored(Job job, Instant now) {
        job.setSizeClass(shares.classify(job.queue().name(), job.spec().estimatedWork()));
        if (!job.open() || now.isAfter(job.objective())) {
            job.markOutcomeCounted();
        }
    }

    /** Counts a job once its outcome is known; a job that its caller has cancelled before is not counted. */
    void countIfDecided(Job job, Instant now) {
        if (job.outcomeCounted() || job.open() && !now.isAfter(job.objective())) {
            return;
        }
        job.markOutcomeCounted();
        if (!counts(job.spec()) || job.endState() == JobState.CANCELLED) {
            return;
        }
        boolean inTime = job.endState() == JobState.DONE && !job.endedAt().isAfter(job.objective());
        QueueName queue = job.queue().name();
        double value = JobQueueOrder.value(job.spec().estimatedWork(), averageWork.of(queue));
        shares.add(queue, job.sizeClass(), value, inTime, now);
    }

    private static boolean counts(JobSpec spec) {
        return !spec.longRunning() && !spec.timed();
    }
}
