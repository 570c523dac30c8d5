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
 * Owns a rack. Only the rack's owner sends new work to its workers. After a takeover a worker gets new work only once
 * it has reported what it runs. The report is requested one maximum message delay after the takeover, when everything
 * that the former owner sent has arrived.
 */
public final class RackService {

    private final RackContext rackContext;

    private final RequestDispatcher dispatcher;

    private final TaskManager taskManager;

    private final ReportPoller poller;

    private Runnable handOverDone = () -> {};

    /**
     * Creates the owner of a rack.
     *
     * @param context the process's clock, timers, messages and calls to workers
     * @param rack the rack
     * @param ownership the ownership of the racks, which determines whether this process may act
     * @param configuration supplies the current configuration
     * @param timings the delays, leases and intervals
     * @param port sends task statuses to the owners of their jobs
     */
    public RackService(
            NodeContext context,
            PartitionId rack,
            OwnershipGroup ownership,
            Supplier<Configuration> configuration,
            NodeTimings timings,
            RackPort port) {
        this.rackContext = new RackContext(context, rack, ownership, configuration, timings);
        this.dispatcher = new RequestDispatcher(rackContext);
        this.taskManager = new TaskManager(rackContext, port);
        this.poller = new ReportPoller(rackContext, dispatcher, taskManager);
    }

    /**
     * Starts polling the workers for reports.
     *
     * @param leavingHosts the hosts that the platform shows as leaving
     */
    public void start(Set<WorkerId> leavingHosts) {
        rackContext.updateWorkers(leavingHosts);
        poller.start();
    }

    /** Closes this owner after it has lost the rack: refuses queued requests and stops polling the workers. */
    public void close() {
        rackContext.close();
        dispatcher.refuseAll(Reason.NOT_OWNER);
    }

    /**
     * Applies a changed configuration or a changed list of leaving hosts.
     *
     * @param leavingHosts the hosts that the platform shows as leaving
     */
    public void updateWorkers(Set<WorkerId> leavingHosts) {
        rackContext.updateWorkers(leavingHosts);
    }

    /**
     * Queues an urgent request and sends it to a worker with free capacity.
     *
     * @param rule the rule for its kind of work
     * @param payload the request
     * @param deadline when the caller stops waiting
     * @param reply receives the outcome exactly once
     * @return an action that cancels the request, unless it has been sent to a worker
     */
    public Runnable execute(KindRule rule, Payload payload, Instant deadline, Consumer<Outcome> reply) {
        return dispatcher.execute(rule, payload, deadline, reply);
    }

    /**
     * Starts a task, or sends its status if this owner already knows it.
     *
     * @param message the task
     * @param rule the rule for its kind of work
     */
    public void startTask(PeerMessage.StartTask message, KindRule rule) {
        taskManager.startTask(message, rule);
    }

    /**
     * Stops a task; the status of an ended task is sent again.
     *
     * @param task the attempt
     * @param checkpoint whether the worker saves a checkpoint first
     */
    public void stopTask(TaskId task, boolean checkpoint) {
        taskManager.stopTask(task, checkpoint);
    }

    /**
     * Sends the statuses of tasks. An unknown task that cannot be running on any worker of the rack is reported as
     * {@code GONE}; a later request to start it is refused.
     *
     * @param queried the attempts
     */
    public void queryTasks(List<TaskId> queried) {
        taskManager.reportStatuses(queried);
    }

    /**
     * Removes ended tasks whose ends are durable in the shard's journal, and lets their workers remove them.
     *
     * @param ended the attempts
     */
    public void acknowledgeTasks(List<TaskId> ended) {
        taskManager.acknowledgeEnds(ended);
    }

    /**
     * Begins handing the rack over: refuses new work and waits for calls in flight.
     *
     * @param done runs once no request and no task start is in flight
     */
    public void handOver(Runnable done) {
        handOverDone = done;
        rackContext.beginHandOver();
        dispatcher.refuseAll(Reason.HANDING_OVER);
        completeHandOverIfIdle();
    }

    /** Dispatches or refuses queued requests and checks the hand-over; called at short intervals. */
    public void poll() {
        dispatcher.processQueue();
        completeHandOverIfIdle();
    }

    /**
     * Returns the free capacity of the rack.
     *
     * @return the free slots; none while the rack accepts no new work
     */
    public RackLoad load() {
        if (rackContext.refusalReason().isPresent()) {
            return new RackLoad(rackContext.rack(), 0, 0);
        }
        int urgent = rackContext.freeSlots(Urgency.URGENT) - dispatcher.queueLength();
        return new RackLoad(rackContext.rack(), urgent, rackContext.freeSlots(Urgency.DEFERRABLE));
    }

    /**
     * Returns the status of the rack for operators.
     *
     * @return the status
     */
    public RackStatus status() {
        List<WorkerStatus> statuses = new ArrayList<>();
        for (Worker worker : rackContext.workers()) {
            statuses.add(worker.status());
        }
        return new RackStatus(rackContext.rack(), rackContext.active(), dispatcher.queueLength(), statuses);
    }

    private void completeHandOverIfIdle() {
        if (rackContext.handingOver() && dispatcher.idle() && taskManager.idle()) {
            handOverDone.run();
        }
    }
}
