package org.flamingopitch.scheduler.rack;

import java.time.Instant;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.flamingopitch.scheduler.model.RequestId;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.TaskId;
import org.flamingopitch.scheduler.model.Urgency;
import org.flamingopitch.scheduler.model.WorkerId;
import org.flamingopitch.scheduler.model.WorkerSpec;
import org.flamingopitch.scheduler.node.WorkerStatus;

/** A worker as its rack's owner sees it: what is reserved on it and whether that is certain. */
final class Worker {

    private static final int CONNECTION_GENERATIONS = 2;

    private final Map<RequestId, Reservation> requests = new TreeMap<>();

    private final Map<TaskId, Reservation> tasks = new TreeMap<>();

    private final Set<TaskId> acknowledged = new TreeSet<>();

    private WorkerSpec spec;

    private Resources reserved = Resources.NONE;

    private boolean certain;

    private Instant lastReportSentAt = Instant.EPOCH;

    private boolean leaving;

    private boolean reportInFlight;

    private int foreignConnections;

    private int ownCalls;

    private Instant leaseHorizon;

    Worker(WorkerSpec spec, Instant leaseHorizon) {
        this.spec = spec;
        this.leaseHorizon = leaseHorizon;
    }

    WorkerId id() {
        return spec.name();
    }

    WorkerSpec spec() {
        return spec;
    }

    void changeSpec(WorkerSpec newSpec) {
        spec = newSpec;
    }

    Map<RequestId, Reservation> requests() {
        return requests;
    }

    Map<TaskId, Reservation> tasks() {
        return tasks;
    }

    Resources reserved() {
        return reserved;
    }

    boolean leaving() {
        return leaving;
    }

    void leaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    boolean usable() {
        return certain && !leaving;
    }

    String why() {
        if (leaving) {
            return "leaving";
        }
        return certain ? "ok" : "no fresh report";
    }

    void uncertain() {
        certain = false;
    }

    void reported(Instant sentAt) {
        certain = true;
        lastReportSentAt = sentAt;
    }

    boolean certain() {
        return certain;
    }

    boolean everReported() {
        return lastReportSentAt.isAfter(Instant.EPOCH);
    }

    boolean reportedSince(Instant bound) {
        return !lastReportSentAt.isBefore(bound);
    }

    Set<TaskId> acknowledged() {
        return acknowledged;
    }

    boolean reportInFlight() {
        return reportInFlight;
    }

    void reportInFlight(boolean inFlight) {
        reportInFlight = inFlight;
    }

    void callStarted() {
        ownCalls++;
    }

    void callEnded() {
        ownCalls--;
    }

    void foreignConnections(int reportedConnections) {
        foreignConnections = Math.max(0, reportedConnections - ownConnectionLimit());
    }

    WorkerStatus status() {
        return new WorkerStatus(id(), usable(), why(), requests.size(), tasks.size(), spec.slots(), reserved);
    }

    Instant leaseHorizon() {
        return leaseHorizon;
    }

    void extendLeaseHorizon(Instant leaseUntil) {
        if (leaseUntil.isAfter(leaseHorizon)) {
            leaseHorizon = leaseUntil;
        }
    }

    int freeSlots(Urgency urgency, int urgentReserve) {
        int usableSlots = urgency.usableSlots(spec.slots(), urgentReserve);
        int used = requests.size() + tasks.size();
        return Math.max(0, usableSlots - used);
    }

    boolean fits(Resources size, Urgency urgency, int urgentReserve) {
        int connectionLimit = Math.min(ownConnectionLimit(), spec.connections() - foreignConnections);
        boolean connectionFree = ownCalls < connectionLimit;
        return connectionFree
                && freeSlots(urgency, urgentReserve) > 0
                && reserved.plus(size).fitsInto(spec.capacity());
    }

    void reserve(RequestId request, Resources size) {
        if (requests.put(request, new Reservation(size)) == null) {
            reserved = reserved.plus(size);
        }
    }

    void reserve(TaskId task, Resources size) {
        if (tasks.put(task, new Reservation(size)) == null) {
            reserved = reserved.plus(size);
        }
    }

    void release(RequestId request) {
        releaseReservation(requests.remove(request));
    }

    void release(TaskId task) {
        releaseReservation(tasks.remove(task));
    }

    private int ownConnectionLimit() {
        return spec.connections() / CONNECTION_GENERATIONS;
    }

    private void releaseReservation(Reservation reservation) {
        if (reservation != null) {
            reserved = reserved.minus(reservation.size());
        }
    }
}
