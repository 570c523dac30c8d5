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

/** The rack owner's view of a worker: its reservations, and whether a current report confirms them. */
final class Worker {

    /** During a takeover the former owner's connections can still be open, so each owner uses half of the limit. */
    private static final int OWNERS_SHARING_CONNECTIONS = 2;

    private final Map<RequestId, Reservation> requests = new TreeMap<>();

    private final Map<TaskId, Reservation> tasks = new TreeMap<>();

    /** Ended tasks that the worker may remove; sent with the next report request. */
    private final Set<TaskId> acknowledgedTasks = new TreeSet<>();

    private WorkerSpec spec;

    private Resources reserved = Resources.NONE;

    /** Whether the reservations match the latest report; false after a call that failed or had no answer. */
    private boolean reportCurrent;

    private Instant lastReportRequestedAt = Instant.EPOCH;

    private boolean leaving;

    private boolean reportInFlight;

    /** Open connections beyond this owner's share; the former owner of the rack may hold them. */
    private int otherConnections;

    private int callsInFlight;

    /** The latest time to which a task's lease on this worker can have been granted by this or a former owner. */
    private Instant latestLeaseEnd;

    Worker(WorkerSpec spec, Instant latestLeaseEnd) {
        this.spec = spec;
        this.latestLeaseEnd = latestLeaseEnd;
    }

    WorkerId id() {
        return spec.name();
    }

    WorkerSpec spec() {
        return spec;
    }

    void updateSpec(WorkerSpec newSpec) {
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

    void setLeaving(boolean isLeaving) {
        leaving = isLeaving;
    }

    boolean usable() {
        return reportCurrent && !leaving;
    }

    String statusDetail() {
        if (leaving) {
            return "leaving";
        }
        return reportCurrent ? "ok" : "no fresh report";
    }

    void invalidateReport() {
        reportCurrent = false;
    }

    void recordReport(Instant requestedAt) {
        reportCurrent = true;
        lastReportRequestedAt = requestedAt;
    }

    boolean reportCurrent() {
        return reportCurrent;
    }

    boolean hasReported() {
        return lastReportRequestedAt.isAfter(Instant.EPOCH);
    }

    /** Returns whether the latest report was requested at the given time or later. */
    boolean reportRequestedSince(Instant bound) {
        return !lastReportRequestedAt.isBefore(bound);
    }

    Set<TaskId> acknowledgedTasks() {
        return acknowledgedTasks;
    }

    boolean reportInFlight() {
        return reportInFlight;
    }

    void setReportInFlight(boolean inFlight) {
        reportInFlight = inFlight;
    }

    void callStarted() {
        callsInFlight++;
    }

    void callEnded() {
        callsInFlight--;
    }

    void recordOpenConnections(int openConnections) {
        otherConnections = Math.max(0, openConnections - ownConnectionLimit());
    }

    WorkerStatus status() {
        return new WorkerStatus(id(), usable(), statusDetail(), requests.size(), tasks.size(), spec.slots(), reserved);
    }

    Instant latestLeaseEnd() {
        return latestLeaseEnd;
    }

    void recordLeaseEnd(Instant leaseUntil) {
        if (leaseUntil.isAfter(latestLeaseEnd)) {
            latestLeaseEnd = leaseUntil;
        }
    }

    int freeSlots(Urgency urgency, int urgentReserve) {
        int usableSlots = urgency.usableSlots(spec.slots(), urgentReserve);
        int used = requests.size() + tasks.size();
        return Math.max(0, usableSlots - used);
    }

    boolean fits(Resources size, Urgency urgency, int urgentReserve) {
        int connectionLimit = Math.min(ownConnectionLimit(), spec.connections() - otherConnections);
        boolean connectionFree = callsInFlight < connectionLimit;
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
        return spec.connections() / OWNERS_SHARING_CONNECTIONS;
    }

    private void releaseReservation(Reservation reservation) {
        if (reservation != null) {
            reserved = reserved.minus(reservation.size());
        }
    }
}
