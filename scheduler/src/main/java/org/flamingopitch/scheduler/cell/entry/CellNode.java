package org.flamingopitch.scheduler.cell.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.owner.CellOwner;
import org.flamingopitch.scheduler.cell.owner.CellTimings;
import org.flamingopitch.scheduler.cell.owner.Election;
import org.flamingopitch.scheduler.cell.owner.JobAnswer;
import org.flamingopitch.scheduler.cell.owner.JobRequest;
import org.flamingopitch.scheduler.cell.owner.OwnerRecord;
import org.flamingopitch.scheduler.cell.port.CellContext;

/** The core of a host: takes callers' requests, and owns the cell while it holds the owner's key. */
public final class CellNode implements Election.Listener {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The steady clock stands still while a host is suspended, the time of day does not. */
    private static final Duration SUSPENSION = Duration.ofMillis(300);

    private final CellContext context;

    private final OwnerLink link;

    private final OwnerRecord self;

    private final CellTimings timings;

    private final Election election;

    private final EntryDesk desk;

    private CellOwner cell;

    private boolean draining;

    private Instant tickedAt = Instant.MIN;

    private long tickedTimeOfDay;

    /**
     * Creates the core.
     *
     * @param context the loop
     * @param link the way to the owner on another host
     * @param self what this process writes when it wins the cell
     * @param timings the platform's bounds
     */
    public CellNode(CellContext context, OwnerLink link, OwnerRecord self, CellTimings timings) {
        this.context = context;
        this.link = link;
        this.self = self;
        this.timings = timings;
        this.election = new Election(context, self, this);
        this.desk = new EntryDesk(
                (request, patience, handler) -> new OwnerCall(context, this, link, request, patience, handler).start());
    }

    /** Starts to follow the owner. */
    public void start() {
        election.start();
    }

    /**
     * Applies a configuration.
     *
     * @param next the queues
     */
    public void configure(CellConfiguration next) {
        if (desk.configure(next) && cell != null) {
            cell.configure(next);
        }
    }

    /**
     * Answers a caller.
     *
     * @param call the request
     * @param reply receives the answer exactly once
     */
    public void handle(CallerCall call, Consumer<CallerReply> reply) {
        desk.handle(call, reply);
    }

    /**
     * Answers another host.
     *
     * @param request what its caller asks
     * @param answer receives the answer exactly once
     */
    public void answerPeer(JobRequest request, Consumer<JobAnswer> answer) {
        if (!askLocally(request, answer)) {
            answer.accept(new JobAnswer.NotOwner());
        }
    }

    /** Does what is due; called after each event and when nothing happens. */
    public void tick() {
        noticeSuspension();
        if (cell != null) {
            cell.tick();
        }
        if (draining && cell != null && cell.flushed()) {
            election.retire();
        }
    }

    /** Gives the cell up, if it is owned here, and does not take it again. */
    public void drain() {
        draining = true;
        LOGGER.atInfo().log("event=draining owner=%s", cell != null);
        if (cell != null) {
            cell.flush();
        } else {
            election.retire();
        }
    }

    /**
     * Tells whether callers should be sent here.
     *
     * @return whether the host has a configuration and knows an owner
     */
    public boolean ready() {
        boolean reachable = election.owner().isPresent() || !election.storeSilent();
        return !draining && desk.configuration().isPresent() && reachable;
    }

    /**
     * Tells whether this host owns the cell.
     *
     * @return whether it does
     */
    public boolean owning() {
        return cell != null;
    }

    /**
     * Counts the open jobs of the cell, if this host owns it.
     *
     * @return the number, 0 on other hosts
     */
    public int openJobs() {
        return cell == null ? 0 : cell.openJobs();
    }

    boolean askLocally(JobRequest request, Consumer<JobAnswer> answer) {
        if (cell == null) {
            return false;
        }
        cell.ask(request, answer);
        return true;
    }

    Optional<OwnerRecord> remoteOwner() {
        return election.owner().filter(owner -> !owner.process().equals(self.process()));
    }

    @Override
    public void elected(long version) {
        CellConfiguration none = new CellConfiguration(0, List.of(), 0);
        cell = new CellOwner(
                context, timings, election, version, desk.configuration().orElse(none));
        cell.start();
    }

    @Override
    public void deposed(String cause) {
        CellOwner former = cell;
        cell = null;
        if (former != null) {
            former.close(cause);
        }
    }

    @Override
    public void ownerChanged() {
        LOGGER.atFine().log("event=owner_changed owner=%s", election.owner());
    }

    private void noticeSuspension() {
        Instant now = context.now();
        long timeOfDay = context.timeOfDayMillis();
        if (!tickedAt.equals(Instant.MIN)) {
            long steady = Duration.between(tickedAt, now).toMillis();
            long suspended = timeOfDay - tickedTimeOfDay - steady;
            if (suspended > SUSPENSION.toMillis()) {
                LOGGER.atWarning().log("event=suspended ms=%d", suspended);
                election.doubt();
            }
        }
        tickedAt = now;
        tickedTimeOfDay = timeOfDay;
    }
}
