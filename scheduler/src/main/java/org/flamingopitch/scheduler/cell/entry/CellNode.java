package org.flamingopitch.scheduler.cell.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.owner.CellOwner;
import org.flamingopitch.scheduler.cell.owner.CellTimings;
import org.flamingopitch.scheduler.cell.owner.Election;
import org.flamingopitch.scheduler.cell.owner.ElectionListener;
import org.flamingopitch.scheduler.cell.owner.FormerOwner;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.flamingopitch.scheduler.cell.owner.OwnerRecord;
import org.flamingopitch.scheduler.cell.port.CellContext;

/**
 * The scheduling core of a host. It handles callers' requests and takes part in the election of the cell's owner; while
 * this process holds the owner's key in the store, it runs the cell.
 */
public final class CellNode implements ElectionListener {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * The host counts as suspended if the time of day advances by more than this beyond the monotonic clock between
     * two ticks: the monotonic clock stops during a suspension, the time of day does not.
     */
    private static final Duration SUSPENSION_THRESHOLD = Duration.ofMillis(300);

    /**
     * How long an owner that gives up the cell waits until its changes are durable. Under load there is always a change
     * that waits; callers' hosts repeat requests that are not durable yet at the next owner.
     */
    private static final Duration MAX_FLUSH_TIME = Duration.ofMillis(400);

    private final CellContext context;

    private final OwnerClient ownerClient;

    private final OwnerRecord self;

    private final CellTimings timings;

    private final Election election;

    private final CallerRequestHandler requestHandler;

    private final OwnershipRequester ownershipRequester;

    private final NoOwnerLogger noOwnerLogger;

    /** When this process used its address already. */
    private Instant startedAt;

    private CellOwner ownedCell;

    /** The request of a process that this owner hands the cell over to when all changes are durable, or null. */
    private JobRequest.RequestOwnership handover;

    /** The names of the data centres under evacuation; null before they are known for the first time. */
    private Set<String> evacuatedDataCentres;

    private Instant evacuationsConfirmedAt = Instant.MIN;

    private boolean draining;

    /** When this owner gives the cell up even if a change is not durable. */
    private Instant giveUpAt = Instant.MAX;

    private Instant lastTickAt = Instant.MIN;

    private long lastTickTimeOfDayMillis;

    /**
     * Creates the core.
     *
     * @param context the single-writer loop and the calls to the store and the workers
     * @param ownerClient forwards requests to the owner on another host
     * @param self the record that this process writes to the owner's key when it is elected
     * @param timings the time limits that the platform sets
     */
    public CellNode(CellContext context, OwnerClient ownerClient, OwnerRecord self, CellTimings timings) {
        this.context = context;
        this.ownerClient = ownerClient;
        this.self = self;
        this.timings = timings;
        this.election = new Election(context, self, this);
        this.ownershipRequester = new OwnershipRequester(context, election, ownerClient, self);
        this.noOwnerLogger = new NoOwnerLogger(context.metrics());
        this.requestHandler = new CallerRequestHandler((request, timeout, handler) ->
                new OwnerCall(context, this, ownerClient, request, timeout, handler).start());
    }

    /** Starts to watch the owner's key and to take part in elections. */
    public void start() {
        startedAt = context.now();
        election.start();
    }

    /**
     * Applies a configuration unless the same or a newer version is already in force.
     *
     * @param next the configuration
     */
    public void configure(CellConfiguration next) {
        if (requestHandler.configure(next) && ownedCell != null) {
            ownedCell.configure(next);
        }
    }

    /**
     * Sets which data centres are under evacuation. An owner places nothing before they are known, and after the store
     * has not confirmed them for a few seconds; they remain in force while the store cannot be reached.
     *
     * @param dataCentres the names of all data centres under evacuation
     */
    public void evacuate(Set<String> dataCentres) {
        evacuatedDataCentres = Set.copyOf(dataCentres);
        evacuationsConfirmedAt = context.now();
        if (ownedCell != null) {
            ownedCell.evacuate(evacuatedDataCentres, evacuationsConfirmedAt);
        }
    }

    /**
     * Counts the data centres under evacuation.
     *
     * @return the number that this process knows of
     */
    public int evacuatedDataCentres() {
        return evacuatedDataCentres == null ? 0 : evacuatedDataCentres.size();
    }

    /**
     * Handles a caller's request.
     *
     * @param callerRequest the request
     * @param reply receives the reply exactly once
     */
    public void handle(CallerJobRequest callerRequest, Consumer<CallerReply> reply) {
        requestHandler.handle(callerRequest, reply);
    }

    /**
     * Handles a request that another host forwards to this process as the cell's owner.
     *
     * @param request the request of the other host's caller
     * @param answer receives the answer exactly once
     */
    public void handlePeerRequest(JobRequest request, Consumer<JobAnswer> answer) {
        if (request instanceof JobRequest.RequestOwnership ownershipRequest) {
            answer.accept(beginHandover(ownershipRequest) ? new JobAnswer.Accepted() : new JobAnswer.NotOwner());
        } else if (!sendToLocalOwner(request, answer)) {
            answer.accept(new JobAnswer.NotOwner());
        }
    }

    /**
     * Begins to hand the cell over and returns true, or returns false if this process does not own the cell. An owner
     * that is still loading the records hands over too: a host with a slow link may never finish.
     */
    private boolean beginHandover(JobRequest.RequestOwnership request) {
        if (ownedCell == null || draining || handover != null) {
            return false;
        }
        handover = request;
        LOGGER.atInfo().log("event=handover_started to=%s", request.candidate().process());
        flushBeforeGivingUp();
        return true;
    }

    /** Performs the work that is due; called after each batch of events, and periodically while the host is idle. */
    public void tick() {
        detectSuspension();
        if (ownedCell != null) {
            ownedCell.tick();
        }
        if (ownedCell != null && (ownedCell.flushed() || !context.now().isBefore(giveUpAt))) {
            giveUpIfRequested();
        }
        if (!draining) {
            ownershipRequester.tick();
        }
        boolean ownerKnown = ownedCell != null || election.owner().isPresent();
        noOwnerLogger.update(ownerKnown, election.storeUnreachable(), draining, context.now());
    }

    private void flushBeforeGivingUp() {
        giveUpAt = context.now().plus(MAX_FLUSH_TIME);
        ownedCell.flush();
    }

    private void giveUpIfRequested() {
        if (draining) {
            election.retire();
        } else if (handover != null) {
            election.handOver(handover.candidate(), handover.leaseId());
        }
    }

    /**
     * Handles an exception that an event of the loop has thrown. An owner gives up the cell, because its state in
     * memory may be inconsistent; the next owner, which may be this process, restores it from the store. All else that
     * this process does goes on.
     *
     * @param error the exception
     */
    public void handleUnexpectedError(RuntimeException error) {
        LOGGER.atSevere().withCause(error).log("event=unexpected_error owner=%s", ownedCell != null);
        election.stepDown("unexpected error: " + error);
    }

    /**
     * Ends this process's part in elections. If it owns the cell, it first stores its changes and then gives up the
     * ownership.
     */
    public void drain() {
        draining = true;
        LOGGER.atInfo().log("event=draining owner=%s", ownedCell != null);
        if (ownedCell != null) {
            flushBeforeGivingUp();
        } else {
            election.retire();
        }
    }

    /**
     * Returns whether callers may be sent to this host.
     *
     * @return whether the host isn't draining, has a configuration, and knows the cell's owner or reaches the store; an
     *     owner, whether the store has confirmed its ownership lately
     */
    public boolean ready() {
        boolean reachable = ownedCell == null
                ? election.owner().isPresent() || !election.storeUnreachable()
                : ownedCell.mayAct() || !election.storeUnreachable();
        return !draining && requestHandler.configuration().isPresent() && reachable;
    }

    /**
     * Returns whether this process owns the cell.
     *
     * @return whether this process owns the cell
     */
    public boolean ownsCell() {
        return ownedCell != null;
    }

    /**
     * Returns the number of the cell's open jobs.
     *
     * @return the number of jobs that haven't ended; 0 if this process doesn't own the cell
     */
    public int openJobs() {
        return ownedCell == null ? 0 : ownedCell.openJobs();
    }

    boolean sendToLocalOwner(JobRequest request, Consumer<JobAnswer> answer) {
        if (ownedCell == null) {
            return false;
        }
        ownedCell.handle(request, answer);
        return true;
    }

    /** Returns the version of the owner's key as last read, which rises with each election. */
    long ownerVersion() {
        return election.ownerVersion();
    }

    Optional<OwnerRecord> remoteOwner() {
        return election.owner().filter(owner -> !owner.process().equals(self.process()));
    }

    @Override
    public void elected(long version) {
        CellConfiguration noQueues = new CellConfiguration(0, List.of(), 0);
        ownedCell = new CellOwner(
                context,
                timings,
                election,
                self,
                this::awaitStop,
                version,
                requestHandler.configuration().orElse(noQueues),
                this::configure);
        if (evacuatedDataCentres != null) {
            ownedCell.evacuate(evacuatedDataCentres, evacuationsConfirmedAt);
        }
        ownedCell.start();
    }

    @Override
    public void formerOwnerIdentified(FormerOwner formerOwner) {
        CellOwner cell = ownedCell;
        awaitStop(formerOwner.owner(), stoppedAt -> cell.recordFormerOwnerStopped(formerOwner, stoppedAt));
    }

    /** Passes on a time by which a former owner did not own the cell any more, once there is one. */
    private void awaitStop(OwnerRecord formerOwner, Consumer<Instant> onStopped) {
        if (formerOwner.process().equals(self.process())) {
            // This process had given up its former ownership before it was elected again.
            onStopped.accept(context.now());
        } else if (formerOwner.address().equals(self.address())) {
            // Only one process can use the address, so that the former owner ended before this process used it.
            onStopped.accept(startedAt);
        } else {
            Runnable onNotOwner = () -> onStopped.accept(context.now());
            new FormerOwnerProbe(context, ownerClient, formerOwner, ownedCell::mayFormerOwnerAct, onNotOwner).start();
        }
    }

    @Override
    public void deposed(String cause) {
        CellOwner formerOwner = ownedCell;
        ownedCell = null;
        handover = null;
        giveUpAt = Instant.MAX;
        if (formerOwner != null) {
            formerOwner.close(cause);
        }
    }

    @Override
    public void ownerChanged() {
        LOGGER.atFine().log("event=owner_changed owner=%s", election.owner());
    }

    private void detectSuspension() {
        Instant now = context.now();
        long timeOfDay = context.timeOfDayMillis();
        if (!lastTickAt.equals(Instant.MIN)) {
            long monotonicMillis = Duration.between(lastTickAt, now).toMillis();
            long suspendedMillis = timeOfDay - lastTickTimeOfDayMillis - monotonicMillis;
            if (suspendedMillis > SUSPENSION_THRESHOLD.toMillis()) {
                LOGGER.atWarning().log("event=suspended ms=%d", suspendedMillis);
                election.requireConfirmation();
            }
        }
        lastTickAt = now;
        lastTickTimeOfDayMillis = timeOfDay;
    }
}
