package org.flamingopitch.scheduler.cell;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongBiFunction;
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

/** A simulated worker with fencing tokens, leases and numbered run ends; it records the runs that it has started. */
public final class FakeWorker {

    private static final long MAX_LEASE_MILLIS = 6_000;

    private static final long CRASH_DELAY_MILLIS = 10;

    private static final long REPORT_MILLIS = 1_500;

    private static final int FULL_SPEED_PERCENT = 100;

    private final String name;

    private final Resources capacity;

    private String address;

    private final Map<TaskRef, Integer> running = new LinkedHashMap<>();

    /** The speed in percent of each task that was started. */
    private final Map<TaskRef, Integer> speeds = new LinkedHashMap<>();

    private final Map<TaskRef, Integer> highestRuns = new LinkedHashMap<>();

    private final List<RunEnd> ended = new ArrayList<>();

    private final List<String> started = new ArrayList<>();

    private long incarnation = 1;

    private long fencingToken;

    private long lastEndNumber;

    private long leaseEndMillis;

    private int maxEndsPerReport = Integer.MAX_VALUE;

    private String checkpoint = "";

    private boolean unresponsive;

    private boolean startsLost;

    private boolean stopsLost;

    private boolean draining;

    private String dataCentre = "dc";

    private long remainingMillis;

    /** The progress that a task's run reports, or negative if it rises with the time. */
    private ToDoubleFunction<TaskRef> reportedPercents = task -> -1;

    private String rack = "r1";

    private ServiceName service = new ServiceName("pool");

    private double clockRate = 1;

    private long startDelayMillis;

    private final Map<WorkerOrder.Start, Long> delayedStarts = new LinkedHashMap<>();

    private boolean listed = true;

    private Predicate<TaskRef> deadlyTasks = task -> false;

    private boolean crashesAtOnce;

    private long crashAtMillis = Long.MAX_VALUE;

    private boolean crashed;

    /** The durations of runs that end by themselves, by task and run number; null if the test ends them. */
    private ToLongBiFunction<TaskRef, Integer> durations;

    /** The figure for the last half second that is reported of each running task. */
    private ToDoubleFunction<TaskRef> measurements = task -> 1;

    private final Map<TaskRef, Long> startMillis = new LinkedHashMap<>();

    /**
     * Creates a worker.
     *
     * @param name its name
     * @param address its address, which a worker that replaces it takes over
     * @param milliCores its processor time in thousandths of a core
     */
    public FakeWorker(String name, String address, long milliCores) {
        this.name = name;
        this.address = address;
        this.capacity = new Resources(milliCores, 100_000, 0);
    }

    String name() {
        return name;
    }

    /**
     * Sets which tasks crash the worker 10 ms after their start.
     *
     * @param tasks the tasks
     */
    public void setDeadlyTasks(Predicate<TaskRef> tasks) {
        deadlyTasks = tasks;
    }

    /**
     * Sets whether deadly tasks crash the worker before it answers their start.
     *
     * @param atOnce whether they crash it at once
     */
    public void setCrashesAtOnce(boolean atOnce) {
        crashesAtOnce = atOnce;
    }

    /**
     * Lets runs end as done by themselves, and report their progress as it was at the last full interval of 1.5 s, which
     * is as late as long polls report it.
     *
     * @param newDurations the duration in milliseconds by task and run number
     */
    public void setDurations(ToLongBiFunction<TaskRef, Integer> newDurations) {
        durations = newDurations;
    }

    /** Sets the figures for the last half second that reports contain. */
    void setMeasurements(ToDoubleFunction<TaskRef> figures) {
        measurements = figures;
    }

    /** Ends the worker's process with all its runs; orders are lost until it is restarted or replaced. */
    public void crash() {
        crashed = true;
        crashAtMillis = Long.MAX_VALUE;
        running.clear();
    }

    /** Returns whether the worker's process has ended. */
    boolean crashed() {
        return crashed;
    }

    /** Returns the address. */
    String address() {
        return address;
    }

    /**
     * Sets the checkpoint of the runs that end.
     *
     * @param value the checkpoint, empty for none
     */
    public void setCheckpoint(String value) {
        checkpoint = value;
    }

    /**
     * Sets how many ends a report lists; the next ones are listed once these are acknowledged.
     *
     * @param limit the number of ends
     */
    public void setMaxEndsPerReport(int limit) {
        maxEndsPerReport = limit;
    }

    /**
     * Sets whether all orders are lost, without effect or answer. Started runs continue until the worker's lease ends.
     *
     * @param isUnresponsive whether orders are lost
     */
    public void setUnresponsive(boolean isUnresponsive) {
        unresponsive = isUnresponsive;
    }

    /** Sets whether start orders are lost, without effect or answer. */
    void setStartsLost(boolean areLost) {
        startsLost = areLost;
    }

    /** Sets whether stop orders are lost, without effect or answer. */
    void setStopsLost(boolean areLost) {
        stopsLost = areLost;
    }

    /** Sets the service of which this is a worker. */
    void setService(String name) {
        service = new ServiceName(name);
    }

    /** Sets the label of the rack. */
    void setRack(String label) {
        rack = label;
    }

    /**
     * Sets whether the registration of this worker shows it as draining.
     *
     * @param isDraining whether it is shown as draining
     */
    public void setDraining(boolean isDraining) {
        draining = isDraining;
    }

    /**
     * Sets whether the registration of this worker shows it as draining, and how long it goes on.
     *
     * @param isDraining whether it is shown as draining
     * @param remaining the time in milliseconds until it stops, which the registration shows unchanged
     */
    public void setDraining(boolean isDraining, long remaining) {
        draining = isDraining;
        remainingMillis = remaining;
    }

    /** Sets the name of the data centre. */
    void setDataCentre(String name) {
        dataCentre = name;
    }

    /**
     * Sets the progress of all runs; without this call it rises with the time.
     *
     * @param percent the progress in percent, 100 for a long-running task that is at work
     */
    public void setReportedPercent(double percent) {
        reportedPercents = task -> percent;
    }

    /** Sets the progress of each task's run. */
    void setReportedPercents(ToDoubleFunction<TaskRef> percents) {
        reportedPercents = percents;
    }

    /**
     * Sets whether the list of workers contains this worker.
     *
     * @param isListed whether it is listed
     */
    public void setListed(boolean isListed) {
        listed = isListed;
    }

    /**
     * Returns whether the list of workers contains this worker.
     *
     * @return whether it is listed
     */
    public boolean listed() {
        return listed;
    }

    /**
     * Sets the rate of the worker's clock.
     *
     * @param rate the worker's time for each unit of real time, 1 for an exact clock
     */
    public void setClockRate(double rate) {
        clockRate = rate;
    }

    /**
     * Lets start orders be executed late, without an answer.
     *
     * @param millis the delay in milliseconds, 0 for none
     */
    public void setStartDelayMillis(long millis) {
        startDelayMillis = millis;
    }

    boolean startDelayed(TaskRef task) {
        return delayedStarts.keySet().stream().anyMatch(start -> start.task().equals(task));
    }

    /** Restarts the worker as a new incarnation under the same name, without its runs and its fencing token. */
    public void restart() {
        incarnation++;
        crashed = false;
        running.clear();
        highestRuns.clear();
        ended.clear();
        fencingToken = 0;
        lastEndNumber = 0;
    }

    /** Restarts the worker at another address. */
    void restartAt(String newAddress) {
        restart();
        address = newAddress;
    }

    /** Ends a run. */
    void end(TaskRef task, EndKind kind) {
        Integer run = running.remove(task);
        if (run != null) {
            lastEndNumber++;
            ended.add(new RunEnd(lastEndNumber, task, run, kind, checkpoint));
        }
    }

    /**
     * Returns the running tasks in an order that does not differ from one process to the next.
     *
     * @return the tasks
     */
    public Set<TaskRef> running() {
        return Collections.unmodifiableSet(new LinkedHashSet<>(running.keySet()));
    }

    /**
     * Returns the speed of a task that was started.
     *
     * @param task the task
     * @return the speed in percent
     */
    public int speed(TaskRef task) {
        return speeds.get(task);
    }

    /**
     * Returns the runs that were started, also by former incarnations.
     *
     * @return each run as its task and run number, separated by a slash
     */
    public List<String> started() {
        return started;
    }

    /**
     * Returns the run ends that the owner has not acknowledged.
     *
     * @return the ends
     */
    public List<RunEnd> ended() {
        return ended;
    }

    /**
     * Returns the registration of this worker.
     *
     * @return the registration
     */
    public WorkerEntry entry() {
        return new WorkerEntry(
                new WorkerId(name),
                incarnation,
                address,
                service,
                dataCentre,
                draining,
                remainingMillis,
                0,
                capacity,
                Set.of("a", rack));
    }

    /**
     * Ends all runs as lapsed if the lease has ended.
     *
     * @param realMillis the time in milliseconds
     */
    public void advance(long realMillis) {
        long clockMillis = (long) (realMillis * clockRate);
        List.copyOf(delayedStarts.keySet()).stream()
                .filter(start -> realMillis >= delayedStarts.get(start))
                .forEach(start -> {
                    delayedStarts.remove(start);
                    start(start, clockMillis);
                });
        if (clockMillis >= crashAtMillis) {
            crash();
        }
        if (durations != null) {
            new LinkedHashMap<>(running).forEach((task, run) -> {
                if (clockMillis >= startMillis.get(task) + durations.applyAsLong(task, run)) {
                    end(task, EndKind.DONE);
                }
            });
        }
        if (clockMillis >= leaseEndMillis) {
            List.copyOf(running.keySet()).forEach(task -> end(task, EndKind.LAPSED));
        }
    }

    /**
     * Executes an order.
     *
     * @param order the order
     * @param realMillis the time in milliseconds
     * @return the answer
     */
    public WorkerAnswer apply(WorkerOrder order, long realMillis) {
        long clockMillis = (long) (realMillis * clockRate);
        boolean lost =
                startsLost && order instanceof WorkerOrder.Start || stopsLost && order instanceof WorkerOrder.Stop;
        if (unresponsive || crashed || lost) {
            return new WorkerAnswer.Lost(new Failure("worker", name, "no answer in time"));
        }
        if (order.fence() < fencingToken) {
            return new WorkerAnswer.Rejected(OrderRejection.FENCED, clockMillis);
        }
        fencingToken = order.fence();
        if (order instanceof WorkerOrder.Start delayed && startDelayMillis > 0) {
            delayedStarts.put(delayed, realMillis + startDelayMillis);
            return new WorkerAnswer.Lost(new Failure("worker", name, "no answer in time"));
        }
        if (order instanceof WorkerOrder.Start start) {
            return start(start, clockMillis);
        }
        if (order instanceof WorkerOrder.Stop stop) {
            highestRuns.merge(stop.task(), stop.run(), Math::max);
            if (running.getOrDefault(stop.task(), -1) == stop.run()) {
                end(stop.task(), EndKind.STOPPED);
            }
        } else if (order instanceof WorkerOrder.Pace pace) {
            speeds.put(pace.task(), pace.percent());
        } else if (order instanceof WorkerOrder.Hold hold) {
            extendLease(hold.leaseEndMillis(), clockMillis);
            ended.removeIf(end -> end.sequenceNumber() <= hold.acknowledged());
            List<RunReport> reports = running.entrySet().stream()
                    .map(each -> new RunReport(
                            each.getKey(),
                            each.getValue(),
                            "",
                            percent(each.getKey(), each.getValue(), clockMillis),
                            measurements.applyAsDouble(each.getKey())))
                    .toList();
            List<RunEnd> page = List.copyOf(ended.subList(0, Math.min(ended.size(), maxEndsPerReport)));
            return new WorkerAnswer.Report(incarnation, clockMillis, reports, page, page.size() == ended.size());
        }
        return new WorkerAnswer.Done(clockMillis);
    }

    private double percent(TaskRef task, int run, long clockMillis) {
        if (durations == null) {
            double reported = reportedPercents.applyAsDouble(task);
            return reported < 0 ? clockMillis / 1_000.0 : reported;
        }
        long reportedMillis = (clockMillis - startMillis.get(task)) / REPORT_MILLIS * REPORT_MILLIS;
        return 100.0 * reportedMillis / durations.applyAsLong(task, run);
    }

    private void extendLease(long endMillis, long clockMillis) {
        leaseEndMillis = Math.max(leaseEndMillis, Math.min(endMillis, clockMillis + MAX_LEASE_MILLIS));
    }

    private WorkerAnswer start(WorkerOrder.Start start, long clockMillis) {
        if (clockMillis >= start.leaseEndMillis()) {
            return new WorkerAnswer.Rejected(OrderRejection.LATE, clockMillis);
        }
        extendLease(start.leaseEndMillis(), clockMillis);
        if (running.getOrDefault(start.task(), -1) == start.run()) {
            return new WorkerAnswer.Done(clockMillis);
        }
        if (start.run() <= highestRuns.getOrDefault(start.task(), 0)) {
            return new WorkerAnswer.Rejected(OrderRejection.OLD_RUN, clockMillis);
        }
        highestRuns.put(start.task(), start.run());
        running.put(start.task(), start.run());
        speeds.put(start.task(), FULL_SPEED_PERCENT);
        startMillis.put(start.task(), clockMillis);
        started.add(start.task() + "/" + start.run());
        if (deadlyTasks.test(start.task())) {
            if (crashesAtOnce) {
                crash();
                return new WorkerAnswer.Lost(new Failure("worker", name, "connection closed"));
            }
            crashAtMillis = clockMillis + CRASH_DELAY_MILLIS;
        }
        return new WorkerAnswer.Done(clockMillis);
    }
}
