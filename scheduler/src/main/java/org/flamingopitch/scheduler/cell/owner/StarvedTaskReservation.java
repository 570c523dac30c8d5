package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.model.Resources;

/**
 * Decides which reservations hold for a task of an idle job. A best-effort task takes no processor time from a
 * long-running one, and is started slowly; reservations for one long-running task after the other on all workers that
 * permit its job would keep that idle.
 */
final class StarvedTaskReservation {

    private StarvedTaskReservation() {}

    /** Returns whether a worker's free capacity is reserved so that the task must wait. */
    static boolean keepsOff(WorkerState worker, Task task, Instant now) {
        return worker.reservedForOther(task, now) && !leavesRoom(worker, worker.reservedFor(now), task);
    }

    private static boolean leavesRoom(WorkerState worker, Task reservedFor, Task task) {
        StepSpec spec = task.step().spec();
        Resources needed = reservedFor.step().spec().reserved();
        Resources rest = worker.free().minus(spec.reserved());
        return spec.fills()
                && !task.suspect()
                && reservedFor.step().spec().lasting()
                && !reservedFor.needsIsolation()
                && !reservedFor.moving()
                && needed.memoryMegabytes() <= rest.memoryMegabytes()
                && needed.accelerators() <= rest.accelerators();
    }
}
