package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.cell.disruption.MoveReason;
import org.flamingopitch.scheduler.cell.locality.RackWaitOutcome;
import org.flamingopitch.scheduler.cell.port.OwnerMetrics;
import org.flamingopitch.scheduler.cell.port.ServiceCores;

/** Records what the owners of a simulated cell measure. */
final class RecordedMetrics implements OwnerMetrics {

    private final List<MoveReason> moves = new ArrayList<>();

    private final List<RackWaitOutcome> rackWaitOutcomes = new ArrayList<>();

    private int deferredMoves;

    private Duration longestIdleTime = Duration.ZERO;

    private Duration timeWithoutOwner = Duration.ZERO;

    private List<ServiceCores> serviceCores = List.of();

    List<MoveReason> moves() {
        return moves;
    }

    int deferredMoves() {
        return deferredMoves;
    }

    /** Returns how the waits of tasks for their racks ended, in order. */
    List<RackWaitOutcome> rackWaitOutcomes() {
        return rackWaitOutcomes;
    }

    Duration longestIdleTime() {
        return longestIdleTime;
    }

    Duration timeWithoutOwner() {
        return timeWithoutOwner;
    }

    @Override
    public void recordTimeWithoutOwner(Duration time) {
        timeWithoutOwner = time;
    }

    @Override
    public void recordLongestIdleTime(Duration longest) {
        longestIdleTime = longest;
    }

    List<ServiceCores> serviceCores() {
        return serviceCores;
    }

    @Override
    public void recordServiceCores(List<ServiceCores> services) {
        serviceCores = services;
    }

    @Override
    public void recordMove(MoveReason reason) {
        moves.add(reason);
    }

    @Override
    public void recordDeferredMove() {
        deferredMoves++;
    }

    @Override
    public void recordRackWait(RackWaitOutcome outcome, Duration waited) {
        rackWaitOutcomes.add(outcome);
    }
}
