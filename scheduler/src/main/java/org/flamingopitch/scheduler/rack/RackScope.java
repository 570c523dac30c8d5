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

/** What the parts of a rack's owner share: the workers, and whether this process may act. */
final class RackScope {

    private final NodeContext context;

    private final PartitionId rack;

    private final OwnershipGroup ownership;

    private final Supplier<Configuration> configuration;

    private final NodeTimings timings;

    private final Instant gainedAt;

    private final Map<WorkerId, Worker> workers = new TreeMap<>();

    private boolean handingOver;

    private boolean closed;

    RackScope(
            NodeContext context,
            PartitionId rack,
            OwnershipGroup ownership,
            Supplier<Configuration> configuration,
            NodeTimings timings) {
        this.context = context;
        this.rack = rack;
        this.ownership = ownership;
        this.configuration = configuration;
        this.timings = timings;
        this.gainedAt = context.now();
    }

    NodeContext context() {
        return context;
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
        return context.now();
    }

    Collection<Worker> workers() {
        return workers.values();
    }

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
        workers.values().forEach(worker -> context.release(worker.spec()));
    }

    void configurationChanged(Set<WorkerId> leavingHosts) {
        Map<WorkerId, WorkerSpec> specs = new TreeMap<>();
        rackSpec().ifPresent(spec -> spec.workers().forEach(worker -> specs.put(worker.name(), worker)));
        for (WorkerSpec spec : specs.values()) {
            workers.computeIfAbsent(spec.name(), name -> new Worker(spec, gainedAt.plus(timings.taskLease())))
                    .changeSpec(spec);
        }
        for (Worker worker : workers.values()) {
            applyLeaving(worker, leavingHosts.contains(worker.id()) || !specs.containsKey(worker.id()));
        }
    }

    Optional<Reason> refusal() {
        if (closed) {
            return Optional.of(Reason.NOT_OWNER);
        }
        if (handingOver) {
            return Optional.of(Reason.HANDING_OVER);
        }
        if (!active()) {
            return Optional.of(Reason.LEASE_LAPSED);
        }
        boolean anyReported = workers.values().stream().anyMatch(Worker::everReported);
        return anyReported ? Optional.empty() : Optional.of(Reason.RECOVERING);
    }

    int freeSlots(Urgency urgency) {
        int reserve = configuration().rules().urgentReserveSlots();
        return workers.values().stream()
                .filter(Worker::usable)
                .mapToInt(worker -> worker.freeSlots(urgency, reserve))
                .sum();
    }

    Optional<Worker> pick(Resources size, Urgency urgency) {
        int reserve = configuration().rules().urgentReserveSlots();
        return workers.values().stream()
                .filter(worker -> worker.usable() && worker.fits(size, urgency, reserve))
                .max(Comparator.comparingInt(worker -> worker.freeSlots(urgency, reserve)));
    }

    /** Tells whether no task that this owner does not know can run on a worker of the rack. */
    boolean noUnknownTasks() {
        return !workers.isEmpty() && workers.values().stream().allMatch(this::noUnknownTasks);
    }

    boolean leasesLapsed(Worker worker) {
        Instant certainlyLapsed =
                worker.leaseHorizon().plus(timings.clockSkew()).plus(timings.transit());
        return now().isAfter(certainlyLapsed);
    }

    void call(Worker worker, WorkerRequest request, Instant notAfter, Consumer<WorkerResult> handler) {
        worker.callStarted();
        context.call(worker.spec(), request, notAfter, result -> {
            worker.callEnded();
            handler.accept(result);
        });
    }

    private boolean noUnknownTasks(Worker worker) {
        Instant lastForeignStart = gainedAt.plus(timings.startLease()).plus(timings.clockSkew());
        return worker.reportedSince(lastForeignStart) || leasesLapsed(worker);
    }

    private Optional<RackSpec> rackSpec() {
        return configuration().dataCentres().stream()
                .flatMap(dataCentre -> dataCentre.racks().stream()
                        .filter(spec ->
                                Configuration.partition(dataCentre, spec).equals(rack)))
                .findFirst();
    }

    private void applyLeaving(Worker worker, boolean leaving) {
        if (leaving && !worker.leaving()) {
            context.audit(AuditType.WORKER_LEAVING, worker.id().value(), "gets no new work");
        }
        worker.leaving(leaving);
    }
}
