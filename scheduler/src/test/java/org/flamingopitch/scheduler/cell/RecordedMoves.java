package org.flamingopitch.scheduler.cell;

import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.cell.disruption.MoveListener;
import org.flamingopitch.scheduler.cell.disruption.MoveReason;

/** Records the moves of long-running tasks in a simulated cell. */
final class RecordedMoves implements MoveListener {

    private final List<MoveReason> reasons = new ArrayList<>();

    private int deferred;

    int deferred() {
        return deferred;
    }

    List<MoveReason> reasons() {
        return reasons;
    }

    @Override
    public void onDeferred() {
        deferred++;
    }

    @Override
    public void onMoved(MoveReason reason) {
        reasons.add(reason);
    }
}
