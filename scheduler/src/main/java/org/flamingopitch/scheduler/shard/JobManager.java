package org.flamingopitch.scheduler.shard;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.once.IdempotencyKey;
import org.flamingopitch.scheduler.message.JobAnswer;
import org.flamingopitch.scheduler.message.JobCommand;
import org.flamingopitch.scheduler.message.JobPhase;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.message.TaskState;
import org.flamingopitch.scheduler.message.TaskStatus;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.Reason;
import org.flamingopitch.scheduler.model.Repeatability;
import org.flamingopitch.scheduler.model.TaskId;
import org.flamingopitch.scheduler.node.AuditType;

/**
 * Runs the jobs of a shard, one attempt of each at a time. The next attempt starts only once the end of the previous
 * one is durable in the journal.
 */
final class JobManager {

    private static final String STEP = "shard.job";

    private static final int MAX_FAILED_ATTEMPTS = 3;

    private static final int MAX_STARTS_PER_POLL = 200;

    /** A running attempt is queried again when its last status is older than this. */
    private static final Duration RUNNING_STATUS_MAX_AGE = Duration.ofSeconds(10);

    /** Doubled for each unsuccessful attempt since an attempt last started to run. */
    private static final Duration BASE_BACKOFF = Duration.ofMillis(200);

    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    private final ShardContext shardContext;

    private final Map<IdempotencyKey, Job> jobs = new LinkedHashMap<>();

    private final Map<IdempotencyKey, Job> openJobs = new LinkedHashMap<>();

    private final Map<IdempotencyKey, Job> waitingJobs = new LinkedHashMap<>();

    private Instant lastQueryAt = Instant.EPOCH;

    JobManager(ShardContext shardContext) {
        this.shardContext = shardContext;
    }

    int jobCount() {
        return jobs.size();
    }

    int openJobCount() {
        return openJobs.size();
    }

    void execute(JobCommand command, Consumer<JobAnswer> reply) {
        Job job = jobs.get(command.job());
        if (command instanceof JobCommand.Submit submit) {
            submit(submit, job, reply);
            return;
        }
        if (job == null || !job.durable()) {
            reply.accept(new JobAnswer.NoSuchJob());
            return;
        }
        if (command instanceof JobCommand.CancelJob) {
            cancel(job);
        } else if (command instanceof JobCommand.Evict) {
            evict(job);
        }
        reply.accept(new JobAnswer.Known(job.view()));
    }

    /** Plans attempts for waiting jobs and queries attempts that may be running; called at short intervals. */
    void poll() {
        if (!shardContext.active() || shardContext.handingOver()) {
            return;
        }
        planWaitingJobs();
        if (shardContext.now().isBefore(lastQueryAt.plus(shardContext.timings().queryInterval()))) {
            return;
        }
        lastQueryAt = shardContext.now();
        queryAttempts();
    }

    void applyStatuses(PartitionId rack, List<TaskStatus> statuses) {
        for (TaskStatus status : statuses) {
            applyStatus(rack, status);
        }
    }

    void replay(ShardRecord record) {
        if (record instanceof ShardRecord.JobSubmitted submitted) {
            replayJob(new Job(submitted));
        } else if (record instanceof ShardRecord.JobState state) {
            replayJob(new Job(state));
        } else if (record instanceof ShardRecord.AttemptPlanned planned) {
            jobs.get(planned.job()).planAttempt(planned.attempt(), planned.rack());
        } else if (record instanceof ShardRecord.AttemptEnded ended) {
            jobs.get(ended.job()).markAttemptEnded(ended.attempt(), ended.state(), ended.resumePoint());
        } else if (record instanceof ShardRecord.JobEnded ended) {
            jobs.get(ended.job()).markEnded(ended.phase(), ended.result(), ended.detail());
            openJobs.remove(ended.job());
        }
    }

    /** Adds the queued jobs to the waiting jobs once the journal has been replayed. */
    void enqueueRecoveredJobs() {
        openJobs.values().stream()
                .filter(job -> job.phase() == JobPhase.QUEUED)
                .forEach(job -> waitingJobs.put(job.key(), job));
    }

    List<ShardRecord> snapshot() {
        List<ShardRecord> records = new ArrayList<>();
        jobs.values().stream().filter(Job::durable).forEach(job -> records.add(job.state()));
        return records;
    }

    private void replayJob(Job job) {
        if (jobs.containsKey(job.key())) {
            return;
        }
        job.markDurable();
        jobs.put(job.key(), job);
        if (!job.phase().ended()) {
            openJobs.put(job.key(), job);
        }
    }

    private void submit(JobCommand.Submit submit, Job known, Consumer<JobAnswer> reply) {
        if (known != null) {
            answerWhenDurable(known, reply);
            return;
        }
        if (shardContext.port().rule(submit.kind()).isEmpty()) {
            reply.accept(refusal(Reason.NOT_CONFIGURED));
            return;
        }
        ShardRecord.JobSubmitted record =
                new ShardRecord.JobSubmitted(submit.job(), submit.kind(), submit.payload(), shardContext.now());
        Job job = new Job(record);
        jobs.put(job.key(), job);
        openJobs.put(job.key(), job);
        waitingJobs.put(job.key(), job);
        shardContext.append(record, () -> {
            job.markDurable();
            reply.accept(new JobAnswer.Known(job.view()));
            planWaitingJobs();
        });
    }

    private void answerWhenDurable(Job job, Consumer<JobAnswer> reply) {
        if (job.durable()) {
            reply.accept(new JobAnswer.Known(job.view()));
            return;
        }
        shardContext
                .nodeContext()
                .schedule(shardContext.timings().routeRetryDelay(), () -> answerWhenDurable(job, reply));
    }

    private void cancel(Job job) {
        job.requestCancel();
        if (job.phase() == JobPhase.QUEUED && !job.recordPending()) {
            recordJobEnd(job, JobPhase.CANCELLED, Payload.EMPTY, "cancelled by its caller", () -> {});
        } else if (job.attemptMayRun()) {
            job.markStopping();
            sendStop(job);
        }
    }

    private void evict(Job job) {
        if (job.attemptMayRun()) {
            job.markStopping();
            sendStop(job);
        }
    }

    private void sendStop(Job job) {
        boolean checkpoint = !job.cancelRequested();
        shardContext.port().sendToRack(job.rack(), new PeerMessage.StopTask(job.rack(), job.task(), checkpoint));
    }

    private void planWaitingJobs() {
        if (!shardContext.active() || shardContext.handingOver()) {
            return;
        }
        List<Job> startable = waitingJobs.values().stream()
                .filter(job -> job.mayStart(shardContext.now()))
                .limit(MAX_STARTS_PER_POLL)
                .toList();
        for (Job job : startable) {
            if (!planAttempt(job)) {
                return;
            }
        }
    }

    /** Records the next attempt of a job, then starts it; returns false if no rack has free capacity. */
    private boolean planAttempt(Job job) {
        if (job.cancelRequested()) {
            recordJobEnd(job, JobPhase.CANCELLED, Payload.EMPTY, "cancelled by its caller", () -> {});
            return true;
        }
        Optional<PartitionId> rack = shardContext.port().chooseRack();
        if (rack.isEmpty()) {
            return false;
        }
        waitingJobs.remove(job.key());
        job.planAttempt(job.attempt() + 1, rack.get());
        job.setRecordPending(true);
        TaskId task = job.task();
        shardContext.append(new ShardRecord.AttemptPlanned(job.key(), task.attempt(), rack.get()), () -> {
            job.setRecordPending(false);
            sendStart(job, task);
        });
        return true;
    }

    private void sendStart(Job job, TaskId task) {
        if (!shardContext.active() || !job.task().equals(task)) {
            return;
        }
        if (job.cancelRequested()) {
            job.markStopping();
            return;
        }
        shardContext
                .port()
                .sendToRack(
                        job.rack(),
                        new PeerMessage.StartTask(job.rack(), task, job.kind(), job.payload(), job.resumePoint()));
    }

    private void queryAttempts() {
        Map<PartitionId, List<TaskId>> byRack = new TreeMap<>();
        for (Job job : openJobs.values()) {
            if (job.attemptMayRun() && job.phase() == JobPhase.STOPPING) {
                sendStop(job);
            } else if (job.attemptMayRun() && job.statusStale(shardContext.now().minus(RUNNING_STATUS_MAX_AGE))) {
                byRack.computeIfAbsent(job.rack(), rack -> new ArrayList<>()).add(job.task());
            }
        }
        byRack.forEach((rack, tasks) -> shardContext.port().sendToRack(rack, new PeerMessage.QueryTasks(rack, tasks)));
    }

    /**
     * Applies the status of a task. A task other than its job's current attempt is acknowledged again if it has ended,
     * and stopped if it is running.
     */
    private void applyStatus(PartitionId rack, TaskStatus status) {
        Job job = jobs.get(status.task().job());
        boolean current = job != null && job.task().equals(status.task()) && job.attemptMayRun();
        if (current) {
            applyCurrentStatus(rack, job, status);
            return;
        }
        boolean recorded = job != null && job.durable() && !job.recordPending();
        if (recorded && status.state().ended()) {
            acknowledge(rack, status.task());
        } else if (recorded && status.state() == TaskState.RUNNING) {
            shardContext.port().sendToRack(rack, new PeerMessage.StopTask(rack, status.task(), false));
        }
    }

    private void applyCurrentStatus(PartitionId rack, Job job, TaskStatus status) {
        switch (status.state()) {
            case RUNNING -> job.markRunning(status.detail(), shardContext.now());
            case FINISHED ->
                recordJobEnd(
                        job,
                        JobPhase.FINISHED,
                        status.result(),
                        status.detail(),
                        () -> acknowledge(rack, status.task()));
            case NEVER_STARTED -> recordAttemptEnd(rack, job, status);
            case STOPPED -> recordAttemptEnd(rack, job, status);
            case GONE -> applyGone(rack, job, status);
            case FAILED -> applyFailed(rack, job, status);
            default -> job.markStateUnknown();
        }
    }

    private void applyGone(PartitionId rack, Job job, TaskStatus status) {
        if (repeatable(job)) {
            recordAttemptEnd(rack, job, status);
            return;
        }
        recordJobEnd(job, JobPhase.UNKNOWN, Payload.EMPTY, status.detail(), () -> acknowledge(rack, status.task()));
    }

    private void applyFailed(PartitionId rack, Job job, TaskStatus status) {
        if (repeatable(job) && job.failures() + 1 < MAX_FAILED_ATTEMPTS) {
            recordAttemptEnd(rack, job, status);
            return;
        }
        recordJobEnd(
                job,
                JobPhase.FAILED,
                Payload.EMPTY,
                "failed on " + status.detail(),
                () -> acknowledge(rack, status.task()));
    }

    private boolean repeatable(Job job) {
        return shardContext
                .port()
                .rule(job.kind())
                .map(KindRule::repeatability)
                .filter(Repeatability::mayRunAgain)
                .isPresent();
    }

    private void recordAttemptEnd(PartitionId rack, Job job, TaskStatus status) {
        job.setRecordPending(true);
        ShardRecord record =
                new ShardRecord.AttemptEnded(job.key(), status.task().attempt(), status.state(), status.resumePoint());
        shardContext.append(record, () -> {
            job.setRecordPending(false);
            job.markAttemptEnded(status.task().attempt(), status.state(), status.resumePoint());
            waitingJobs.put(job.key(), job);
            shardContext
                    .nodeContext()
                    .audit(AuditType.ATTEMPT_ENDED, status.task().toString(), describe(status));
            if (status.state() != TaskState.STOPPED) {
                job.postponeUntil(shardContext.now().plus(backoff(job)), describe(status));
            }
            acknowledge(rack, status.task());
            planWaitingJobs();
        });
    }

    private Duration backoff(Job job) {
        int doublings = Math.min(job.countUnsuccessfulAttempt(), MAX_BACKOFF_DOUBLINGS);
        return BASE_BACKOFF.multipliedBy(1L << doublings);
    }

    private void recordJobEnd(Job job, JobPhase phase, Payload result, String detail, Runnable whenDurable) {
        job.setRecordPending(true);
        shardContext.append(new ShardRecord.JobEnded(job.key(), phase, result, detail), () -> {
            job.setRecordPending(false);
            job.markEnded(phase, result, detail);
            openJobs.remove(job.key());
            waitingJobs.remove(job.key());
            shardContext.nodeContext().audit(AuditType.JOB_ENDED, job.key().value(), phase + " " + detail);
            whenDurable.run();
        });
    }

    private void acknowledge(PartitionId rack, TaskId task) {
        shardContext.port().sendToRack(rack, new PeerMessage.AcknowledgeTasks(rack, List.of(task)));
    }

    private static String describe(TaskStatus status) {
        return status.state() + " " + status.detail();
    }

    private JobAnswer refusal(Reason reason) {
        return new JobAnswer.Refused(
                reason, new Failure(STEP, shardContext.shard().value(), reason.text()));
    }
}
