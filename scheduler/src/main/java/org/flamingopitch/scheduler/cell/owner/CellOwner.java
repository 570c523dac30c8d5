package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.port.CellContext;

/** Owns a cell while this process holds the owner's key: answers callers and keeps their jobs going. */
public final class CellOwner {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * How long an owner extends leases and starts tasks without an answer of the store. A successor waits for it before
     * it takes runs on workers that it cannot reach as over.
     */
    private static final Duration STORE_SILENCE = Duration.ofSeconds(4);

    /** The clock of a worker may be 2 % slow, and an order may wait in a buffer. */
    private static final Duration TAKEOVER_MARGIN = Duration.ofMillis(300);

    /** Another version of the system may serve it. */
    private static final Duration RETRY_UNSERVED = Duration.ofSeconds(30);

    private static final Duration RETRY_LATER = Duration.ofSeconds(1);

    private final CellContext context;

    private final CellTimings timings;

    private final Election election;

    private final JobTable jobs = new JobTable();

    private final List<Question> waiting = new ArrayList<>();

    private final Fleet fleet;

    private final CellLoader loader;

    private final RunKeeper keeper;

    private final CellLoad load;

    private final long fence;

    private final Instant electedAt;

    private CellConfiguration configuration;

    private CommitLog log;

    private boolean closed;

    /**
     * Takes a cell over.
     *
     * @param context the loop
     * @param timings the platform's bounds
     * @param election the election that this process won
     * @param fence the fencing token
     * @param configuration the queues in force
     */
    public CellOwner(
            CellContext context, CellTimings timings, Election election, long fence, CellConfiguration configuration) {
        this.context = context;
        this.timings = timings;
        this.election = election;
        this.fence = fence;
        this.configuration = configuration;
        this.electedAt = context.now();
        Duration slowLease = timings.maxLease().multipliedBy(100).dividedBy(98);
        Instant formerLapseAt = electedAt.plus(STORE_SILENCE).plus(slowLease).plus(TAKEOVER_MARGIN);
        this.keeper = new RunKeeper(context, timings, fence, jobs, this::fenced);
        this.fleet = new Fleet(context, fence, timings.maxLease(), formerLapseAt, keeper);
        this.load = new CellLoad(jobs, fleet, keeper.drainRate());
        this.loader = new CellLoader(context, this::loaded);
    }

    /** Starts to read what former owners recorded and to look at the workers. */
    public void start() {
        fleet.start();
        loader.start();
    }

    /**
     * Ends this ownership.
     *
     * @param cause why
     */
    public void close(String cause) {
        closed = true;
        fleet.close();
        loader.close();
        if (log != null) {
            log.close();
        }
        LOGGER.atInfo().log(
                "event=cell_closed fence=%d cause=\"%s\" jobs=%d",
                fence, cause, jobs.all().size());
        waiting.forEach(question -> question.answer().accept(new JobAnswer.NotOwner()));
        waiting.clear();
        keeper.close();
    }

    /**
     * Applies a configuration.
     *
     * @param next the queues in force
     */
    public void configure(CellConfiguration next) {
        configuration = next;
        for (Job job : jobs.all()) {
            next.queue(job.queue().name()).ifPresent(job::reconfigure);
        }
        keeper.requestPlacing();
    }

    /**
     * Answers a caller.
     *
     * @param request what the caller asks
     * @param answer receives the answer exactly once
     */
    public void ask(JobRequest request, Consumer<JobAnswer> answer) {
        if (closed) {
            answer.accept(new JobAnswer.NotOwner());
            return;
        }
        if (log == null) {
            waiting.add(new Question(request, answer));
            return;
        }
        if (request instanceof JobRequest.Submit submit) {
            submit(submit, answer);
        } else if (request instanceof JobRequest.Cancel cancel) {
            cancel(cancel.id(), answer);
        } else if (request instanceof JobRequest.AskState ask) {
            Job job = jobs.job(ask.id());
            answer.accept(job == null ? new JobAnswer.Unknown() : new JobAnswer.State(job.visibleState()));
        } else if (request instanceof JobRequest.AskPending pending) {
            answer.accept(new JobAnswer.Pending(load.pending(pending.queue())));
        }
    }

    /** Does what is due; called after each event and when nothing happens. */
    public void tick() {
        if (closed) {
            return;
        }
        if (log == null) {
            return;
        }
        fleet.tick(mayAct());
        keeper.tick();
        log.sendIfDue();
    }

    /** Writes what is left before the ownership is given up. */
    public void flush() {
        if (log != null) {
            log.flush();
        }
    }

    /**
     * Tells whether nothing waits to be written.
     *
     * @return whether all changes are durable
     */
    public boolean flushed() {
        return log == null || log.idle();
    }

    /**
     * Counts the open jobs.
     *
     * @return the number
     */
    public int openJobs() {
        return jobs.open().size();
    }

    private boolean mayAct() {
        return context.now().isBefore(election.confirmedAt().plus(STORE_SILENCE));
    }

    private void loaded(
            long ledgerVersion,
            Map<JobId, JobRecord> records,
            Map<JobId, ProgressRecord> progress,
            LearnedRecord learned) {
        keeper.restore(learned);
        long nowMillis = context.timeOfDayMillis();
        records.forEach((id, record) -> {
            Job job = JobTable.restore(id, record, progress.get(id), fleet, context.now(), nowMillis);
            configuration.queue(job.queue().name()).ifPresent(job::reconfigure);
            jobs.add(job);
            keeper.meanWork().add(job.queue().name(), job.spec());
        });
        log = new CommitLog(context, fence, ledgerVersion, keeper::learned, new CommitListener());
        keeper.begin(log, fleet, this::mayAct);
        LOGGER.atInfo().log(
                "event=cell_loaded fence=%d jobs=%d open=%d ms=%d",
                fence,
                jobs.all().size(),
                jobs.open().size(),
                Duration.between(electedAt, context.now()).toMillis());
        List<Question> asked = List.copyOf(waiting);
        waiting.clear();
        asked.forEach(question -> ask(question.request(), question.answer()));
    }

    private void submit(JobRequest.Submit submit, Consumer<JobAnswer> answer) {
        Job known = jobs.job(submit.id());
        if (known != null) {
            whenStored(known, () -> answer.accept(new JobAnswer.Accepted()), answer);
            return;
        }
        Optional<String> unserved = unserved(submit);
        if (unserved.isPresent()) {
            LOGGER.atWarning().log("event=refused job=%s reason=\"%s\"", submit.id(), unserved.get());
            answer.accept(new JobAnswer.Refused(RETRY_UNSERVED, unserved.get()));
            return;
        }
        if (!mayAct()) {
            answer.accept(new JobAnswer.Refused(RETRY_LATER, "the store does not answer"));
            return;
        }
        Optional<Duration> refusal = Admission.refusal(
                submit.spec(),
                submit.queue(),
                jobs.open(),
                load.capacity(submit.queue(), context.now()),
                load.totalCpu(submit.queue()),
                keeper.estimates(),
                context.now());
        if (refusal.isPresent()) {
            LOGGER.atInfo().log(
                    "event=refused job=%s queue=%s reason=backlog retry_ms=%d",
                    submit.id(), submit.queue().name(), refusal.get().toMillis());
            answer.accept(new JobAnswer.Refused(refusal.get(), "too much work waits"));
            return;
        }
        Job job = new Job(submit.id(), submit.queue(), submit.spec(), context.now(), context.timeOfDayMillis());
        jobs.add(job);
        keeper.meanWork().add(job.queue().name(), job.spec());
        LOGGER.atInfo().log(
                "event=submitted job=%s queue=%s steps=%d open=%d",
                job.id(),
                job.queue().name(),
                job.spec().steps().size(),
                jobs.all().size());
        keeper.requestPlacing();
        whenStored(job, () -> answer.accept(new JobAnswer.Accepted()), answer);
    }

    /** Says what a job needs that is not built; started without it, its tasks would break what it asks for. */
    private static Optional<String> unserved(JobRequest.Submit submit) {
        if (submit.queue().advised()) {
            return Optional.of("queues with a policy service are not served");
        }
        boolean gang = submit.spec().steps().stream().anyMatch(step -> step.gang() && step.count() > 1);
        return gang ? Optional.of("gangs are not served") : Optional.empty();
    }

    private void cancel(JobId id, Consumer<JobAnswer> answer) {
        Job job = jobs.job(id);
        if (job == null) {
            answer.accept(new JobAnswer.Unknown());
            return;
        }
        if (job.open()) {
            LOGGER.atInfo().log("event=cancelled job=%s", id);
            keeper.end(job, JobState.CANCELLED);
        }
        whenStored(job, () -> answer.accept(new JobAnswer.Cancelled()), answer);
    }

    /** Runs an action when the job as it is now is durable. */
    private void whenStored(Job job, Runnable action, Consumer<JobAnswer> inDoubt) {
        keeper.awaitDurable(job, action, () -> inDoubt.accept(new JobAnswer.InDoubt()));
    }

    private void fenced(WorkerState worker) {
        election.stepDown("worker " + worker.id() + " has seen a higher fencing token");
    }

    private record Question(JobRequest request, Consumer<JobAnswer> answer) {}

    private final class CommitListener implements CommitLog.Listener {

        @Override
        public void confirmed(Instant sentAt) {
            election.confirmed(sentAt);
        }

        @Override
        public void committed() {
            keeper.committed();
        }

        @Override
        public void lost(String detail) {
            election.stepDown(detail);
        }
    }
}
