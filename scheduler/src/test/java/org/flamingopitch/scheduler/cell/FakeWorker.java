package org.flamingopitch.scheduler.cell;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.coordination.api.Failure;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.RunEnd;
import org.flamingopitch.scheduler.cell.model.RunReport;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.cell.model.WorkerEntry;
import org.flamingopitch.scheduler.cell.port.OrderRejection;
import org.flamingopitch.scheduler.cell.port.WorkerAnswer;
import org.flamingopitch.scheduler.cell.port.WorkerOrder;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;

/** A worker that keeps fences, leases and numbered ends, and logs what it starts. */
public final class FakeWorker {

    private final String name;

    private final Resources capacity;

    private final Map<TaskRef, Integer> running = new LinkedHashMap<>();

    private final Map<TaskRef, Integer> highest = new LinkedHashMap<>();

    private final List<RunEnd> ended = new ArrayList<>();

    private final List<String> started = new ArrayList<>();

    private long life = 1;

    private long fence;

    private long lastNumber;

    private long leaseEnd;

    private boolean dark;

    private boolean losesStarts;

    private boolean draining;

    /**
     * Creates a worker.
     *
     * @param name its name
     * @param milliCores its processor time in thousandths of a core
     */
    public FakeWorker(String name, long milliCores) {
        this.name = name;
        this.capacity = new Resources(milliCores, 100_000, 0);
    }

    /**
     * Answers nothing and does nothing from now on, or does again.
     *
     * @param isDark whether it is silent
     */
    public void setDark(boolean isDark) {
        dark = isDark;
    }

    /**
     * Leaves starts unanswered and does not carry them out.
     *
     * @param loses whether it does
     */
    public void setLosesStarts(boolean loses) {
        losesStarts = loses;
    }

    /**
     * Says that it drains.
     *
     * @param isDraining whether it does
     */
    public void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    /** Starts anew under the same name. */
    public void restart() {
        life++;
        running.clear();
        highest.clear();
        ended.clear();
        fence = 0;
        lastNumber = 0;
    }

    /**
     * Ends a run.
     *
     * @param task the task
     * @param kind how it ends
     */
    public void end(TaskRef task, EndKind kind) {
        Integer run = running.remove(task);
        if (run != null) {
            lastNumber++;
            ended.add(new RunEnd(lastNumber, task, run, kind, ""));
        }
    }

    /**
     * Returns the tasks that run.
     *
     * @return the tasks
     */
    public Set<TaskRef> running() {
        return Set.copyOf(running.keySet());
    }

    /**
     * Returns all starts so far.
     *
     * @return task and run of each
     */
    public List<String> started() {
        return started;
    }

    /**
     * Returns the ends that are not acknowledged.
     *
     * @return the ends
     */
    public List<RunEnd> ended() {
        return ended;
    }

    /**
     * Returns the registered entry.
     *
     * @return the entry
     */
    public WorkerEntry entry() {
        return new WorkerEntry(
                new WorkerId(name),
                life,
                "127.0.0.1:1",
                new ServiceName("pool"),
                "dc",
                draining,
                0,
                0,
                capacity,
                Set.of("a", "r1"));
    }

    /**
     * Lets everything lapse whose lease is over.
     *
     * @param clockMillis the worker's clock
     */
    public void advance(long clockMillis) {
        if (clockMillis >= leaseEnd) {
            List.copyOf(running.keySet()).forEach(task -> end(task, EndKind.LAPSED));
        }
    }

    /**
     * Carries an order out.
     *
     * @param order the order
     * @param clockMillis the worker's clock
     * @return the answer
     */
    public WorkerAnswer apply(WorkerOrder order, long clockMillis) {
        if (dark || losesStarts && order instanceof WorkerOrder.Start) {
            return new WorkerAnswer.Lost(new Failure("worker", name, "no answer in time"));
        }
        if (order.fence() < fence) {
            return new WorkerAnswer.Rejected(OrderRejection.FENCED, clockMillis);
        }
        fence = order.fence();
        if (order instanceof WorkerOrder.Start start) {
            return start(start, clockMillis);
        }
        if (order instanceof WorkerOrder.Stop stop) {
            highest.merge(stop.task(), stop.run(), Math::max);
            if (running.getOrDefault(stop.task(), -1) == stop.run()) {
                end(stop.task(), EndKind.STOPPED);
            }
        } else if (order instanceof WorkerOrder.Hold hold) {
            leaseEnd = Math.max(leaseEnd, hold.leaseEndMillis());
            ended.removeIf(end -> end.number() <= hold.acknowledged());
            List<RunReport> reports = running.entrySet().stream()
                    .map(each -> new RunReport(each.getKey(), each.getValue(), "", clockMillis / 1_000.0, 1))
                    .toList();
            return new WorkerAnswer.Report(life, clockMillis, reports, List.copyOf(ended));
        }
        return new WorkerAnswer.Done(clockMillis);
    }

    private WorkerAnswer start(WorkerOrder.Start start, long clockMillis) {
        leaseEnd = Math.max(leaseEnd, start.leaseEndMillis());
        if (running.getOrDefault(start.task(), -1) == start.run()) {
            return new WorkerAnswer.Done(clockMillis);
        }
        if (start.run() <= highest.getOrDefault(start.task(), 0)) {
            return new WorkerAnswer.Rejected(OrderRejection.OLD_RUN, clockMillis);
        }
        highest.put(start.task(), start.run());
        running.put(start.task(), start.run());
        started.add(start.task() + "/" + start.run());
        return new WorkerAnswer.Done(clockMillis);
    }
}
