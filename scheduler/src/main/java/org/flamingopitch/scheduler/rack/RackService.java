package org.flamingopitch.scheduler.rack;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.ownership.OwnershipGroup;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.message.RackLoad;
import org.flamingopitch.scheduler.model.Configuration;
import org.flamingopitch.scheduler.model.KindRule;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.Reason;
import org.flamingopitch.scheduler.model.TaskId;
import org.flamingopitch.scheduler.model.Urgency;
import org.flamingopitch.scheduler.model.WorkerId;
import org.flamingopitch.scheduler.node.NodeContext;
import org.flamingopitch.scheduler.node.NodeTimings;
import org.flamingopitch.scheduler.node.RackStatus;
import org.flamingopitch.scheduler.node.WorkerStatus;

/**
 * Owns a rack: the only place that gives its workers new work. After a takeover a worker gets new work only once a
 * report shows what runs on it, asked for after everything that the former owner sent has arrived.
 */
public final class RackService {

    private final RackScope scope;

    private final RequestDispatcher dispatcher;

    private final TaskKeeper tasks;

    private final ReportPoller poller;

    private Runnable handOverDone = () -> {};

    /**
     * Creates the owner's side of a rack.
     *
     * @param context the core
     * @param rack the rack
     * @param ownership tells whether this process may act
     * @param configuration the configuration in force
     * @param timings the times
     * @param port passes the states of tasks on
     */
    public RackService(
            NodeContext context,
            PartitionId rack,
            OwnershipGroup ownership,
            Supplier<Configuration> configuration,
            NodeTimings timings,
            RackPort port) {
        this.scope = new RackScope(context, rack, ownership, configuration, timings);
        this.dispatcher = new RequestDispatcher(scope);
        this.tasks = new TaskKeeper(scope, port);
        this.poller = new ReportPoller(scope, dispatcher, tasks);
    }

    /**
     * Starts to ask the workers for reports.
     *
     * @param leavingHosts the hosts that the platform shows as leaving
     */
    public void start(Set<WorkerId> leavingHosts) {
        scope.configurationChanged(leavingHosts);
        poller.start();
    }

    /** Ends this owner's work; what it knew is void. */
    public void close() {
        scope.close();
        dispatcher.refuseAll(Reason.NOT_OWNER);
    }

    /**
     * Takes over a changed inventory or list of hosts.
     *
     * @param leavingHosts the hosts that the platform shows as leaving
     */
    public void configurationChanged(Set<WorkerId> leavingHosts) {
        scope.configurationChanged(leavingHosts);
    }

    /**
     * Runs an urgent request.
     *
     * @param rule the rule of its kind
     * @param payload the request
     * @param deadline when the caller stops waiting
     * @param reply receives the outcome exactly once
     * @return cancels the request if it was not sent to a worker yet
     */
    public Runnable execute(KindRule rule, Payload payload, Instant deadline, Consumer<Outcome> reply) {
        return dispatcher.execute(rule, payload, deadline, reply);
    }

    /**
     * Starts a task, or tells its state if it is known already.
     *
     * @param message the task
     * @param rule the rule of its kind
     */
    public void startTask(PeerMessage.StartTask message, KindRule rule) {
        tasks.start(message, rule);
    }

    /**
     * Stops a task.
     *
     * @param task the attempt
     * @param checkpoint whether the work so far is kept
     */
    public void stopTask(TaskId task, boolean checkpoint) {
        tasks.stop(task, checkpoint);
    }

    /**
     * Tells the states of tasks; one that is not known and can run nowhere in the rack is refused from then on.
     *
     * @param queried the attempts
     */
    public void queryTasks(List<TaskId> queried) {
        tasks.query(queried);
    }

    /**
     * Lets workers forget tasks whose ends are durable.
     *
     * @param ended the attempts
     */
    public void acknowledge(List<TaskId> ended) {
        tasks.acknowledge(ended);
    }

    /**
     * Takes nothing new and waits for what is in flight.
     *
     * @param done runs when nothing is in flight
     */
    public void handOver(Runnable done) {
        handOverDone = done;
        scope.beginHandOver();
        dispatcher.refuseAll(Reason.HANDING_OVER);
        finishHandOver();
    }

    /** Serves and expires waiting requests; called at short intervals. */
    public void poll() {
        dispatcher.serveQueue();
        finishHandOver();
    }

    /**
     * Tells how much room there is.
     *
     * @return the load
     */
    public RackLoad load() {
        if (scope.refusal().isPresent()) {
            return new RackLoad(scope.rack(), 0, 0);
        }
        int urgent = scope.freeSlots(Urgency.URGENT) - dispatcher.waiting();
        return new RackLoad(scope.rack(), urgent, scope.freeSlots(Urgency.DEFERRABLE));
    }

    /**
     * Tells the state of the rack.
     *
     * @return the state
     */
    public RackStatus status() {
        List<WorkerStatus> states = new ArrayList<>();
        for (Worker worker : scope.workers()) {
            states.add(worker.status());
        }
        return new RackStatus(scope.rack(), scope.active(), dispatcher.waiting(), states);
    }

    private void finishHandOver() {
        if (scope.handingOver() && dispatcher.idle() && tasks.idle()) {
            handOverDone.run();
        }
    }
}
