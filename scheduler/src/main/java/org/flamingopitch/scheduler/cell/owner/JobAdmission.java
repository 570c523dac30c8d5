package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import org.flamingopitch.scheduler.cell.admission.AdmissionDecision;
import org.flamingopitch.scheduler.cell.admission.AdmissionPolicy;
import org.flamingopitch.scheduler.cell.admission.SizeClass;
import org.flamingopitch.scheduler.cell.feature.FeatureGate;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.port.CellContext;
import org.flamingopitch.scheduler.cell.port.OwnerMetrics;

/** Decides on submissions by the load of the cell, and records each decision. */
final class JobAdmission {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final long MILLICORES_PER_CORE = 1_000;

    private final CellContext context;

    private final JobTable jobs;

    private final CellLoad load;

    private final LearnedStatistics statistics;

    JobAdmission(CellContext context, JobTable jobs, CellLoad load, LearnedStatistics statistics) {
        this.context = context;
        this.jobs = jobs;
        this.load = load;
        this.statistics = statistics;
    }

    AdmissionDecision decide(JobRequest.Submit submit, SizeClass sizeClass) {
        AdmissionDecision decision =
                context.gates().on(FeatureGate.ADMISSION) ? decideByLoad(submit, sizeClass) : AdmissionPolicy.admit();
        record(submit, decision);
        return decision;
    }

    private AdmissionDecision decideByLoad(JobRequest.Submit submit, SizeClass sizeClass) {
        JobShares shares = statistics.jobShares();
        QueueName queue = submit.queue().name();
        return AdmissionControl.decide(
                submit.id(),
                submit.spec(),
                submit.queue(),
                jobs.open(),
                load.capacity(submit.queue(), submit.spec(), context.now()),
                load.totalMilliCores(submit.queue()),
                shares.share(queue, sizeClass),
                shares.boost(queue, sizeClass),
                statistics.estimates(),
                context.now());
    }

    /** Counts a decision on a submission, and logs it if the job is rejected. */
    private void record(JobRequest.Submit submit, AdmissionDecision decision) {
        OwnerMetrics metrics = context.metrics();
        metrics.recordAdmission(submit.queue().priority(), decision.outcome().label());
        if (decision.inputs().workAhead() > 0) {
            metrics.recordAdmissionWait(Duration.ofMillis(decision.waitMillis()));
        }
        if (!decision.admitted()) {
            LOGGER.atInfo().log(
                    "event=refused job=%s queue=%s %s work_core_ms=%d",
                    submit.id(),
                    submit.queue().name(),
                    decision.logFields(),
                    submit.spec().estimatedWork() / MILLICORES_PER_CORE);
        }
    }
}
