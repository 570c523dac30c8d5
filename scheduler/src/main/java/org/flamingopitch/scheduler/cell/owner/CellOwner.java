package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.cell.admission.AdmissionDecision;
import org.flamingopitch.scheduler.cell.admission.SizeClass;
import org.flamingopitch.scheduler.cell.disruption.Evacuations;
import org.flamingopitch.scheduler.cell.feature.FeatureGate;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.port.CellContext;

/**
 * The cell from the election of this process as its owner until the end of that ownership: loads the records of former
 * owners, answers callers' requests, and has the tasks of their jobs placed and run.
 */
public final class CellOwner {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private static final long MILLICORES_PER_CORE = 1_000;

    private final CellContext context;

    private final CellTimings timings;

    private final Election election;

    private final JobTable jobs = new JobTable();

    private final List<WaitingRequest> waitingRequests = new ArrayList<>();

    private final PendingAnswers pendingAnswers = new PendingAnswers();

    private final UnconfirmedRequests unconfirmedRequests;

    private final JobRefusals refusals;

    private final WorkerRegistry workerRegistry;

    private final CellRecordsLoader recordsLoader;

    private final LearnedStatistics statistics;

    private final RunManager runManager;

    private final CellLoad load;

    private final JobAdmission admission;

    private final long fencingToken;

    private final OwnerRecord self;

    private final Instant electedAt;

    private final FormerLeases formerLeases;

    private final Evacuations evacuations = new Evacuations();

    /** When the store last confirmed which data centres are under evacuation. */
    private Instant evacuationsConfirmedAt = Instant.MIN;

    private final KnownQueues queues;

    private CommitLog commitLog;

    private boolean closed;

    /**
     * Creates the owner of a cell; {@link #start()} begins the takeover.
     *
     * @param context the event loop
     * @param timings the platform's time limits
     * @param election the election that this process won
     * @param self the record of this process
     * @param stopMonitor is told the former owners that the ledger names, and passes on a time by which each one had
     *     stopped to extend leases, if it learns one
     * @param fencingToken the version at which this process won the owner's key; workers reject orders with a lower one
     * @param configuration the queues in force
     * @param configurationListener receives the configuration that the takeover reads, before the jobs are restored
     */
    public CellOwner(
            CellContext context,
            CellTimings timings,
            Election election,
            OwnerRecord self,
            BiConsumer<OwnerRecord, Consumer<Instant>> stopMonitor,
            long fencingToken,
            CellConfiguration configuration,
            Consumer<CellConfiguration> configurationListener) {
        this.context = context;
        this.timings = timings;
        this.election = election;
        this.self = self;
        this.fencingToken = fencingToken;
        this.queues = new KnownQueues(configuration);
        this.refusals = new JobRefusals(context.metrics());
        this.unconfirmedRequests = new UnconfirmedRequests(election);
        this.electedAt = context.now();
        this.formerLeases = new FormerLeases(electedAt, timings.maxLease(), stopMonitor, this::limitFormerLeases);
        this.statistics = new LearnedStatistics(electedAt, context.gates());
        this.runManager =
                new RunManager(context, timings, fencingToken, jobs, statistics, this::stepDownAfterRejection);
        this.workerRegistry = new WorkerRegistry(
                context, fencingToken, timings.maxLease(), formerLeases.expiry(), evacuations, runManager);
        this.load = new CellLoad(jobs, workerRegistry, statistics.bestEffortCompletionRate());
        this.admission = new JobAdmission(context, jobs, load, statistics);
        this.recordsLoader = new CellRecordsLoader(
                context,
                (ledger, formerOwners) -> formerLeases.applyLedger(ledger, formerOwners, context.now()),
                configurationListener,
                this::restore);
    }

    /** Starts to load the records of former owners and to poll the workers. */
    public void start() {
        workerRegistry.start();
        recordsLoader.start();
    }

    /**
     * Shortens the wait for workers that cannot be reached, since the former owner extends no more leases.
     *
     * @param formerOwner an owner that has been found not to own the cell any more
     * @param stoppedAt a time by which it did not
     */
    public void recordFormerOwnerStopped(FormerOwner formerOwner, Instant stoppedAt) {
        formerLeases.recordStopped(formerOwner, stoppedAt);
    }

    private void limitFormerLeases(Instant expiry) {
        workerRegistry.limitFormerLeases(expiry);
    }

    /**
     * Returns whether it is of use to learn that the former owner has stopped.
     *
     * @return whether this process owns the cell and the former owner may still extend leases
     */
    public boolean mayFormerOwnerAct() {
        return !closed && formerLeases.mayFormerOwnerAct(context.now());
    }

    /**
     * Ends the ownership: answers the requests that wait, and writes nothing more.
     *
     * @param cause the reason, for the log
     */
    public void close(String cause) {
        closed = true;
        workerRegistry.close();
        recordsLoader.close();
        if (commitLog != null) {
            commitLog.close();
        }
        LOGGER.atInfo().log(
                "event=cell_closed fence=%d cause=\"%s\" jobs=%d",
                fencingToken, cause, jobs.all().size());
        waitingRequests.forEach(each -> each.answer().accept(new JobAnswer.NotOwner()));
        waitingRequests.clear();
        pendingAnswers.close();
        unconfirmedRequests.close();
        context.metrics().recordLongestIdleTime(Duration.ZERO);
        context.metrics().recordServiceCores(List.of());
    }

    /**
     * Applies a configuration.
     *
     * @param next the queues in force
     */
    public void configure(CellConfiguration next) {
        queues.apply(next);
        updateQueues();
    }

    private void updateQueues() {
        for (Job job : jobs.all()) {
            queues.queue(job.queue().name()).ifPresent(job::updateQueue);
        }
        runManager.requestPlacement();
    }

    /**
     * Sets which data centres are under evacuation. Their workers get no new tasks; before the first call no worker does.
     *
     * @param dataCentres the names of all data centres under evacuation
     * @param confirmedAt when the store last confirmed them
     */
    public void evacuate(Set<String> dataCentres, Instant confirmedAt) {
        evacuationsConfirmedAt = confirmedAt;
        if (evacuations.update(dataCentres)) {
            workerRegistry.applyEvacuations();
            runManager.requestPlacement();
        }
    }

    /**
     * Executes a caller's request. Requests that come before the records are loaded wait for them.
     *
     * @param request the request
     * @param answer receives the answer exactly once
     */
    public void handle(JobRequest request, Consumer<JobAnswer> answer) {
        if (closed) {
            answer.accept(new JobAnswer.NotOwner());
            return;
        }
        if (commitLog == null) {
            waitingRequests.add(new WaitingRequest(request, answer));
            return;
        }
        execute(request, context.now(), answer);
    }

    private void execute(JobRequest request, Instant receivedAt, Consumer<JobAnswer> answer) {
        if (request instanceof JobRequest.Submit submit) {
            submit(submit, answer);
        } else if (request instanceof JobRequest.Cancel cancel) {
            Job job = jobs.job(cancel.id());
            if (job == null) {
                unconfirmedRequests.denyJob(cancel, receivedAt, answer);
            } else {
                cancel(job, answer);
            }
        } else if (request instanceof JobRequest.AskState ask) {
            Job job = jobs.job(ask.id());
            if (job == null) {
                unconfirmedRequests.denyJob(ask, receivedAt, answer);
            } else {
                answer.accept(new JobAnswer.State(job.visibleState()));
            }
        } else if (request instanceof JobRequest.AskPending pending) {
            answer.accept(new JobAnswer.Pending(load.countPendingJobs(pending.queue())));
        }
    }

    /** Polls workers, places tasks and sends commits that are due. Called after each event and at regular intervals. */
    public void tick() {
        if (closed || commitLog == null) {
            return;
        }
        unconfirmedRequests.release(context.now(), this::execute);
        workerRegistry.tick(mayExtendLeases());
        runManager.tick();
        commitLog.sendIfDue();
        if (storeAway()) {
            refuseUnsentJobs();
        }
    }

    /** Sends the changes that wait to be committed, before the ownership is given up. */
    public void flush() {
        if (commitLog != null) {
            commitLog.flush();
        }
    }

    /**
     * Returns whether all changes are durable.
     *
     * @return whether no change waits and no commit is in flight
     */
    public boolean flushed() {
        return commitLog == null || commitLog.idle();
    }

    /**
     * Counts the open jobs.
     *
     * @return the number
     */
    public int openJobs() {
        return jobs.open().size();
    }

    /**
     * Returns whether the store has confirmed the ownership recently enough to start tasks and to extend leases.
     *
     * @return whether this owner may act
     */
    public boolean mayAct() {
        return context.now().isBefore(election.confirmedAt().plus(FormerLeases.MAX_UNCONFIRMED_TIME));
    }

    /**
     * Returns whether tasks may be placed and started: this process may act, and the store has confirmed recently enough
     * which data centres are under evacuation. After an outage of the store, its ownership may be confirmed earlier than
     * a request that was made during the outage is read.
     */
    private boolean mayPlace() {
        boolean evacuationsConfirmed = timings.evacuationLimit().isZero()
                || context.now().isBefore(evacuationsConfirmedAt.plus(FormerLeases.MAX_UNCONFIRMED_TIME));
        return evacuations.known() && evacuationsConfirmed && mayExtendLeases();
    }

    /** Returns whether this process may act and a successor will know that it may have extended leases. */
    private boolean mayExtendLeases() {
        return commitLog.ownerRecorded() && mayAct();
    }

    private void restore(
            long ledgerVersion,
            Map<JobId, JobRecord> records,
            Map<JobId, Map<Integer, ProgressRecord>> progress,
            LearnedRecord learnedStatistics) {
        statistics.restore(learnedStatistics);
        long timeOfDayMillis = context.timeOfDayMillis();
        records.forEach((id, record) -> {
            Map<Integer, ProgressRecord> parts = progress.getOrDefault(id, Map.of());
            Job job = JobTable.restore(id, record, parts, workerRegistry, context.now(), timeOfDayMillis);
            queues.queue(job.queue().name()).ifPresent(job::updateQueue);
            jobs.add(job);
            runManager.onJobRestored(job);
        });
        Ownership ownership = new Ownership(fencingToken, self, formerLeases);
        commitLog = new CommitLog(context, ownership, ledgerVersion, statistics::record, new CommitListener());
        runManager.startPlacing(commitLog, workerRegistry, this::mayPlace);
        LOGGER.atInfo().log(
                "event=cell_loaded fence=%d jobs=%d open=%d ms=%d",
                fencingToken,
                jobs.all().size(),
                jobs.open().size(),
                Duration.between(electedAt, context.now()).toMillis());
        List<WaitingRequest> released = List.copyOf(waitingRequests);
        waitingRequests.clear();
        released.forEach(each -> handle(each.request(), each.answer()));
    }

    private void submit(JobRequest.Submit submit, Consumer<JobAnswer> answer) {
        if (queues.learn(submit)) {
            updateQueues();
        }
        Job existing = jobs.job(submit.id());
        if (existing != null) {
            answerWhenDurable(existing, new JobAnswer.Accepted(), answer);
            return;
        }
        Optional<QueueSpec> queue = queues.resolve(submit);
        if (queue.isEmpty()) {
            refusals.refuseUnconfigured(submit.id(), submit.queue(), answer);
        } else {
            admitIfPossible(submit.withQueue(queue.get()), answer);
        }
    }

    private void admitIfPossible(JobRequest.Submit submit, Consumer<JobAnswer> answer) {
        Optional<String> unsupportedFeature = JobRefusals.unsupportedFeature(submit);
        if (unsupportedFeature.isPresent()) {
            refusals.refuseUnsupported(submit.id(), submit.queue(), unsupportedFeature.get(), answer);
        } else if (storeAway()) {
            refuseStoreAway(submit.id(), submit.queue(), answer);
        } else if (!mayAct()) {
            refusals.refuseUnconfirmed(submit.id(), submit.queue(), answer);
        } else {
            admit(submit, answer);
        }
    }

    private void admit(JobRequest.Submit submit, Consumer<JobAnswer> answer) {
        JobShares shares = statistics.jobShares();
        QueueName queue = submit.queue().name();
        SizeClass sizeClass = shares.classify(submit.id(), queue, submit.spec());
        AdmissionDecision decision = admission.decide(submit, sizeClass);
        if (!decision.admitted()) {
            shares.onRejected(submit.id(), queue, submit.spec(), sizeClass, context.now());
            answer.accept(new JobAnswer.Refused(decision.retryDelay(), "too much work waits"));
            return;
        }
        Job job = new Job(submit.id(), submit.queue(), submit.spec(), context.now(), context.timeOfDayMillis());
        jobs.add(job);
        shares.onAdmitted(job, sizeClass);
        statistics.onAdmitted(job);
        LOGGER.atInfo().log(
                "event=submitted job=%s queue=%s steps=%d tasks=%d work_core_ms=%d open=%d",
                job.id(),
                job.queue().name(),
                job.spec().steps().size(),
                job.spec().taskCount(),
                job.spec().estimatedWork() / MILLICORES_PER_CORE,
                jobs.all().size());
        runManager.requestPlacement();
        answerWhenDurable(job, new JobAnswer.Accepted(), answer);
    }

    private void cancel(Job job, Consumer<JobAnswer> answer) {
        if (job.open()) {
            LOGGER.atInfo().log("event=cancelled job=%s", job.id());
            runManager.endJob(job, JobState.CANCELLED);
        }
        answerWhenDurable(job, new JobAnswer.Cancelled(), answer);
    }

    /** Answers when the present state of the job is durable, or InDoubt if the ownership ends before. */
    private void answerWhenDurable(Job job, JobAnswer answer, Consumer<JobAnswer> caller) {
        commitLog.write(job, true, pendingAnswers.add(job.id(), caller, answer));
    }

    private boolean storeAway() {
        return context.gates().on(FeatureGate.OUTAGE_REFUSALS)
                && commitLog.outage().away(context.now());
    }

    /** Refuses the jobs that wait behind an unanswered transaction: nothing of them has been sent to the store. */
    private void refuseUnsentJobs() {
        for (Job job : commitLog.withdrawUnsentJobs()) {
            runManager.withdraw(job);
            refuseStoreAway(job.id(), job.queue(), refusal -> pendingAnswers.answer(job.id(), refusal));
        }
    }

    private void refuseStoreAway(JobId id, QueueSpec queue, Consumer<JobAnswer> answer) {
        refusals.refuseStoreAway(id, queue, commitLog.outage().elapsed(context.now()), answer);
    }

    private void stepDownAfterRejection(WorkerState worker) {
        if (closed) {
            return;
        }
        election.stepDown("worker " + worker.id() + " rejected an order because of a newer fencing token");
    }

    private record WaitingRequest(JobRequest request, Consumer<JobAnswer> answer) {}

    private final class CommitListener implements CommitLog.Listener {

        @Override
        public void onConfirmed(Instant sentAt) {
            election.recordConfirmation(sentAt);
        }

        @Override
        public void onCommitted() {
            runManager.onCommitted();
        }

        @Override
        public void onRecordRejected(Job job) {
            if (!job.definitionStored()) {
                runManager.withdraw(job);
                refusals.refuseUnsupported(
                        job.id(),
                        job.queue(),
                        "the store does not accept the record of the job",
                        refusal -> pendingAnswers.answer(job.id(), refusal));
                return;
            }
            pendingAnswers.answer(job.id(), new JobAnswer.InDoubt());
            if (job.open()) {
                LOGGER.atSevere().log(
                        "event=job_failed job=%s cause=\"the store does not accept its progress\"", job.id());
                runManager.endJob(job, JobState.FAILED);
            }
        }

        @Override
        public void onOwnershipLost(String detail) {
            election.stepDown(detail);
        }
    }
}
