package org.flamingopitch.scheduler.rack;

import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.flamingopitch.coordination.api.PartitionId;
import org.flamingopitch.coordination.ownership.OwnershipGroup;
import org.flamingopitch.scheduler.model.Configuration;
import org.flamingopitch.scheduler.model.RackSpec;
import org.flamingopitch.scheduler.model.Reason;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.Urgency;
import org.flamingopitch.scheduler.model.WorkerId;
import org.flamingopitch.scheduler.model.WorkerSpec;
import org.flamingopitch.scheduler.node.AuditType;
import org.flamingopitch.scheduler.node.NodeContext;
import org.flamingopitch.scheduler.node.NodeTimings;
import org.flamingopitch.scheduler.worker.WorkerRequest;
import org.flamingopitch.scheduler.worker.WorkerResult;

/** State shared by the components of a rack's owner: the rack's workers, the configuration and the ownership. */
final class RackContext {

    private final NodeContext nodeContext;

    private final PartitionId rack;

    private final OwnershipGroup ownership;

    private final Supplier<Configuration> configuration;

    private final NodeTimings timings;

    private final Instant gainedAt;

    private final Map<WorkerId, Worker> workers = new TreeMap<>();

    private boolean handingOver;

    private boolean closed;

    RackContext(
            NodeContext nodeContext,
            PartitionId rack,
            OwnershipGroup ownership,
            Supplier<Configuration> configuration,
            NodeTimings timings) {
        this.nodeContext = nodeContext;
        this.rack = rack;
        this.ownership = ownership;
        this.configuration = configuration;
        this.timings = timings;
        this.gainedAt = nodeContext.now();
    }

    NodeContext nodeContext() {
        return nodeContext;
    }

    PartitionId rack() {
        return rack;
    }

    NodeTimings timings() {
        return timings;
    }

    Configuration configuration() {
        return configuration.get();
    }

    Instant now() {
        return nodeContext.now();
    }

    Collection<Worker> workers() {
        return workers.values();
    }

    /**
     * Returns whether this process may act for the rack: it owns the rack, and its lease or its peers' promise not to
     * take over before a certain time is still valid.
     */
    boolean active() {
        return !closed && ownership.active(rack);
    }

    Instant validUntil() {
        return ownership.validUntil();
    }

    boolean handingOver() {
        return handingOver;
    }

    void beginHandOver() {
        handingOver = true;
    }

    boolean closed() {
        return closed;
    }

    void close() {
        closed = true;
        workers.values().forEach(worker -> nodeContext.release(worker.spec()));
    }

    /** Applies the configured workers; one that is no longer configured counts as leaving. */
    void updateWorkers(Set<WorkerId> leavingHosts) {
        Map<WorkerId, WorkerSpec> specs = new TreeMap<>();
        rackSpec().ifPresent(spec -> spec.workers().forEach(worker -> specs.put(worker.name(), worker)));
        for (WorkerSpec spec : specs.values()) {
            workers.computeIfAbsent(spec.name(), name -> new Worker(spec, gainedAt.plus(timings.taskLease())))
                    .updateSpec(spec);
        }
        for (Worker worker : workers.values()) {
            updateLeaving(worker, leavingHosts.contains(worker.id()) || !specs.containsKey(worker.id()));
        }
    }

    /** Returns why the rack accepts no new work at present, or empty if it does. */
    Optional<Reason> refusalReason() {
        if (closed) {
            return Optional.of(Reason.NOT_OWNER);
        }
        if (handingOver) {
            return Optional.of(Reason.HANDING_OVER);
        }
        if (!active()) {
            return Optional.of(Reason.LEASE_LAPSED);
        }
        boolean anyWorkerReported = workers.values().stream().anyMatch(Worker::hasReported);
        return anyWorkerReported ? Optional.empty() : Optional.of(Reason.RECOVERING);
    }

    int freeSlots(Urgency urgency) {
        int reserve = configuration().rules().urgentReserveSlots();
        return workers.values().stream()
                .filter(Worker::usable)
                .mapToInt(worker -> worker.freeSlots(urgency, reserve))
                .sum();
    }

    /** Returns the worker with the most free slots among those that can hold the given size. */
    Optional<Worker> chooseWorker(Resources size, Urgency urgency) {
        int reserve = configuration().rules().urgentReserveSlots();
        return workers.values().stream()
                .filter(worker -> worker.usable() && worker.fits(size, urgency, reserve))
                .max(Comparator.comparingInt(worker -> worker.freeSlots(urgency, reserve)));
    }

    /** Returns whether this owner knows every task that can still be running on a worker of the rack. */
    boolean allTasksKnown() {
        return !workers.isEmpty() && workers.values().stream().allMatch(this::allTasksKnown);
    }

    /** Returns whether all leases of tasks on the worker have ended, allowing for transit time and clock skew. */
    boolean taskLeasesLapsed(Worker worker) {
        Instant latestLapse = worker.latestLeaseEnd().plus(timings.clockSkew()).plus(timings.maxTransitTime());
        return now().isAfter(latestLapse);
    }

    /** Calls a worker; the request is not sent after the given time. */
    void call(Worker worker, WorkerRequest request, Instant notAfter, Consumer<WorkerResult> handler) {
        worker.callStarted();
        nodeContext.call(worker.spec(), request, notAfter, result -> {
            worker.callEnded();
            handler.accept(result);
        });
    }

    private boolean allTasksKnown(Worker worker) {
        Instant latestStartByFormerOwner = gainedAt.plus(timings.startLease()).plus(timings.clockSkew());
        return worker.reportRequestedSince(latestStartByFormerOwner) || taskLeasesLapsed(worker);
    }

    private Optional<RackSpec> rackSpec() {
        return configuration().dataCentres().stream()
                .flatMap(dataCentre -> dataCentre.racks().stream()
                        .filter(spec ->
                                Configuration.partition(dataCentre, spec).equals(rack)))
                .findFirst();
    }

    private void updateLeaving(Worker worker, boolean leaving) {
        if (leaving && !worker.leaving()) {
            nodeContext.audit(AuditType.WORKER_LEAVING, worker.id().value(), "gets no new work");
        }
        worker.setLeaving(leaving);
    }
}
