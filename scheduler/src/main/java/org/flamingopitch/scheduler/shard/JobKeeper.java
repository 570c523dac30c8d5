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

/** Keeps the jobs of a shard: one attempt at a time, the next only once the end of the one before is on record. */
final class JobKeeper {

    private static final String STEP = "shard.job";

    private static final int MAX_FAILURES = 3;

    private static final int MAX_STARTS_PER_POLL = 200;

    private static final Duration ASK_ABOUT_RUNNING_AFTER = Duration.ofSeconds(10);

    private static final Duration FIRST_BACKOFF = Duration.ofMillis(200);

    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    private final ShardScope scope;

    private final Map<IdempotencyKey, Job> jobs = new LinkedHashMap<>();

    private final Map<IdempotencyKey, Job> open = new LinkedHashMap<>();

    private final Map<IdempotencyKey, Job> waiting = new LinkedHashMap<>();

    private Instant lastQuery = Instant.EPOCH;

    JobKeeper(ShardScope scope) {
        this.scope = scope;
    }

    int jobs() {
        return jobs.size();
    }

    int openJobs() {
        return open.size();
    }

    void command(JobCommand command, Consumer<JobAnswer> reply) {
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

    /** Plans attempts for waiting jobs and asks about those that may run; called at short intervals. */
    void poll() {
        if (!scope.active() || scope.handingOver()) {
            return;
        }
        planWaiting();
        if (scope.now().isBefore(lastQuery.plus(scope.timings().queryInterval()))) {
            return;
        }
        lastQuery = scope.now();
        queryRunning();
    }

    void tell(PartitionId rack, List<TaskStatus> states) {
        for (TaskStatus status : states) {
            applyStatus(rack, status);
        }
    }

    void replay(ShardRecord record) {
        if (record instanceof ShardRecord.JobSubmitted submitted) {
            replayJob(new Job(submitted));
        } else if (record instanceof ShardRecord.JobState state) {
            replayJob(new Job(state));
        } else if (record instanceof ShardRecord.AttemptPlanned planned) {
            jobs.get(planned.job()).plan(planned.attempt(), planned.rack());
        } else if (record instanceof ShardRecord.AttemptEnded ended) {
            jobs.get(ended.job()).attemptEnded(ended.attempt(), ended.state(), ended.resumePoint());
        } else if (record instanceof ShardRecord.JobEnded ended) {
            jobs.get(ended.job()).end(ended.phase(), ended.result(), ended.detail());
            open.remove(ended.job());
        }
    }

    /** Finds the jobs that wait, once everything is read back. */
    void recovered() {
        open.values().stream()
                .filter(job -> job.phase() == JobPhase.QUEUED)
                .forEach(job -> waiting.put(job.key(), job));
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
            open.put(job.key(), job);
        }
    }

    private void submit(JobCommand.Submit submit, Job known, Consumer<JobAnswer> reply) {
        if (known != null) {
            answerWhenDurable(known, reply);
            return;
        }
        if (scope.port().rule(submit.kind()).isEmpty()) {
            reply.accept(refused(Reason.NOT_CONFIGURED));
            return;
        }
        ShardRecord.JobSubmitted record =
                new ShardRecord.JobSubmitted(submit.job(), submit.kind(), submit.payload(), scope.now());
        Job job = new Job(record);
        jobs.put(job.key(), job);
        open.put(job.key(), job);
        waiting.put(job.key(), job);
        scope.append(record, () -> {
            job.markDurable();
            reply.accept(new JobAnswer.Known(job.view()));
            planWaiting();
        });
    }

    private void answerWhenDurable(Job job, Consumer<JobAnswer> reply) {
        if (job.durable()) {
            reply.accept(new JobAnswer.Known(job.view()));
            return;
        }
        scope.context().schedule(scope.timings().routeRetryDelay(), () -> answerWhenDurable(job, reply));
    }

    private void cancel(Job job) {
        job.askCancel();
        if (job.phase() == JobPhase.QUEUED && !job.recordPending()) {
            end(job, JobPhase.CANCELLED, Payload.EMPTY, "cancelled by its caller", () -> {});
        } else if (job.mayRun()) {
            job.stopping();
            askToStop(job);
        }
    }

    private void evict(Job job) {
        if (job.mayRun()) {
            job.stopping();
            askToStop(job);
        }
    }

    private void askToStop(Job job) {
        boolean checkpoint = !job.cancelAsked();
        scope.port().sendToRack(job.rack(), new PeerMessage.StopTask(job.rack(), job.task(), checkpoint));
    }

    private void planWaiting() {
        if (!scope.active() || scope.handingOver()) {
            return;
        }
        List<Job> startable = waiting.values().stream()
                .filter(job -> job.mayStart(scope.now()))
                .limit(MAX_STARTS_PER_POLL)
                .toList();
        for (Job job : startable) {
            if (!plan(job)) {
                return;
            }
        }
    }

    private boolean plan(Job job) {
        if (job.cancelAsked()) {
            end(job, JobPhase.CANCELLED, Payload.EMPTY, "cancelled by its caller", () -> {});
            return true;
        }
        Optional<PartitionId> rack = scope.port().chooseRack();
        if (rack.isEmpty()) {
            return false;
        }
        waiting.remove(job.key());
        job.plan(job.attempt() + 1, rack.get());
        job.recordPending(true);
        TaskId task = job.task();
        scope.append(new ShardRecord.AttemptPlanned(job.key(), task.attempt(), rack.get()), () -> {
            job.recordPending(false);
            start(job, task);
        });
        return true;
    }

    private void start(Job job, TaskId task) {
        if (!scope.active() || !job.task().equals(task)) {
            return;
        }
        if (job.cancelAsked()) {
            job.stopping();
            return;
        }
        scope.port()
                .sendToRack(
                        job.rack(),
                        new PeerMessage.StartTask(job.rack(), task, job.kind(), job.payload(), job.resumePoint()));
    }

    private void queryRunning() {
        Map<PartitionId, List<TaskId>> byRack = new TreeMap<>();
        for (Job job : open.values()) {
            if (job.mayRun() && job.phase() == JobPhase.STOPPING) {
                askToStop(job);
            } else if (job.mayRun() && job.stateOlderThan(scope.now().minus(ASK_ABOUT_RUNNING_AFTER))) {
                byRack.computeIfAbsent(job.rack(), rack -> new ArrayList<>()).add(job.task());
            }
        }
        byRack.forEach((rack, tasks) -> scope.port().sendToRack(rack, new PeerMessage.QueryTasks(rack, tasks)));
    }

    private void applyStatus(PartitionId rack, TaskStatus status) {
        Job job = jobs.get(status.task().job());
        boolean current = job != null && job.task().equals(status.task()) && job.mayRun();
        if (current) {
            applyCurrent(rack, job, status);
            return;
        }
        boolean recorded = job != null && job.durable() && !job.recordPending();
        if (recorded && status.state().ended()) {
            acknowledge(rack, status.task());
        } else if (recorded && status.state() == TaskState.RUNNING) {
            scope.port().sendToRack(rack, new PeerMessage.StopTask(rack, status.task(), false));
        }
    }

    private void applyCurrent(PartitionId rack, Job job, TaskStatus status) {
        switch (status.state()) {
            case RUNNING -> job.running(status.detail(), scope.now());
            case FINISHED ->
                end(job, JobPhase.FINISHED, status.result(), status.detail(), () -> acknowledge(rack, status.task()));
            case NEVER_STARTED -> endAttempt(rack, job, status);
            case STOPPED -> endAttempt(rack, job, status);
            case GONE -> applyGone(rack, job, status);
            case FAILED -> applyFailed(rack, job, status);
            default -> job.awaitState();
        }
    }

    private void applyGone(PartitionId rack, Job job, TaskStatus status) {
        if (repeatable(job)) {
            endAttempt(rack, job, status);
            return;
        }
        end(job, JobPhase.UNKNOWN, Payload.EMPTY, status.detail(), () -> acknowledge(rack, status.task()));
    }

    private void applyFailed(PartitionId rack, Job job, TaskStatus status) {
        if (repeatable(job) && job.failures() + 1 < MAX_FAILURES) {
            endAttempt(rack, job, status);
            return;
        }
        end(
                job,
                JobPhase.FAILED,
                Payload.EMPTY,
                "failed on " + status.detail(),
                () -> acknowledge(rack, status.task()));
    }

    private boolean repeatable(Job job) {
        return scope.port()
                .rule(job.kind())
                .map(KindRule::repeatability)
                .filter(Repeatability::mayRunAgain)
                .isPresent();
    }

    private void endAttempt(PartitionId rack, Job job, TaskStatus status) {
        job.recordPending(true);
        ShardRecord record =
                new ShardRecord.AttemptEnded(job.key(), status.task().attempt(), status.state(), status.resumePoint());
        scope.append(record, () -> {
            job.recordPending(false);
            job.attemptEnded(status.task().attempt(), status.state(), status.resumePoint());
            waiting.put(job.key(), job);
            scope.context().audit(AuditType.ATTEMPT_ENDED, status.task().toString(), describe(status));
            if (status.state() != TaskState.STOPPED) {
                job.waitUntil(scope.now().plus(backoff(job)), describe(status));
            }
            acknowledge(rack, status.task());
            planWaiting();
        });
    }

    private Duration backoff(Job job) {
        int doublings = Math.min(job.refused(), MAX_BACKOFF_DOUBLINGS);
        return FIRST_BACKOFF.multipliedBy(1L << doublings);
    }

    private void end(Job job, JobPhase phase, Payload result, String detail, Runnable whenDurable) {
        job.recordPending(true);
        scope.append(new ShardRecord.JobEnded(job.key(), phase, result, detail), () -> {
            job.recordPending(false);
            job.end(phase, result, detail);
            open.remove(job.key());
            waiting.remove(job.key());
            scope.context().audit(AuditType.JOB_ENDED, job.key().value(), phase + " " + detail);
            whenDurable.run();
        });
    }

    private void acknowledge(PartitionId rack, TaskId task) {
        scope.port().sendToRack(rack, new PeerMessage.AcknowledgeTasks(rack, List.of(task)));
    }

    private static String describe(TaskStatus status) {
        return status.state() + " " + status.detail();
    }

    private JobAnswer refused(Reason reason) {
        return new JobAnswer.Refused(reason, new Failure(STEP, scope.shard().value(), reason.text()));
    }
}
