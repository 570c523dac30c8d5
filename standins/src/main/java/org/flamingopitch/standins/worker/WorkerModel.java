package org.flamingopitch.standins.worker;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The state of a worker; the caller passes the time in and takes care of threads. */
public final class WorkerModel {

    private static final String RUNNING = "RUNNING";

    private static final String STOPPED = "STOPPED";

    private static final String FINISHED = "FINISHED";

    private static final String FAILED = "FAILED";

    private static final int FULL_SPEED_PERCENT = 100;

    private static final String POINT_PREFIX = "done-millis=";

    private final String name;

    private final Duration usageLag;

    private final Map<String, Instant> requests = new TreeMap<>();

    private final Map<TaskKey, RunningTask> running = new TreeMap<>();

    private final Map<TaskKey, TaskView> ended = new TreeMap<>();

    private final List<LogEntry> log = new ArrayList<>();

    private long answers;

    /**
     * Creates a worker.
     *
     * @param name its name
     * @param usageLag how old its measurements are
     */
    public WorkerModel(String name, Duration usageLag) {
        this.name = name;
        this.usageLag = usageLag;
    }

    /**
     * Begins to answer a request.
     *
     * @param now the current time
     * @param id the request
     * @param kind the kind of work
     * @param payload the request
     * @return how long the answer takes
     */
    public Duration beginRequest(Instant now, String id, String kind, byte[] payload) {
        requests.put(id, now);
        log.add(new LogEntry(now, LogEntry.Event.REQUEST_STARTED, id, kind + " " + text(payload)));
        return WorkScript.duration(payload);
    }

    /**
     * Ends a request.
     *
     * @param now the current time
     * @param id the request
     * @param payload the request
     * @return the answer
     */
    public String endRequest(Instant now, String id, byte[] payload) {
        requests.remove(id);
        answers++;
        log.add(new LogEntry(now, LogEntry.Event.REQUEST_ENDED, id, ""));
        return "{\"worker\":\"" + name + "\",\"answer\":" + answers + ",\"echo\":" + quoted(payload) + "}";
    }

    /**
     * Starts a task, whether it fits or not.
     *
     * @param now the current time
     * @param order the task
     * @return why it was not started, or nothing
     */
    public Optional<String> start(Instant now, TaskOrder order) {
        advance(now);
        if (!now.isBefore(order.leaseUntil())) {
            return Optional.of("the lease has ended");
        }
        if (ended.containsKey(order.task())) {
            return Optional.of("the task has ended");
        }
        if (running.containsKey(order.task())) {
            return Optional.empty();
        }
        running.put(order.task(), new RunningTask(order, now, donePart(order.resumePoint())));
        log.add(new LogEntry(now, LogEntry.Event.TASK_STARTED, id(order.task()), order.resumePoint()));
        return Optional.empty();
    }

    /**
     * Checkpoints a task and stops it.
     *
     * @param now the current time
     * @param task the task
     * @param checkpoint whether the work so far is kept
     * @return the task, if it is known
     */
    public Optional<TaskView> stop(Instant now, TaskKey task, boolean checkpoint) {
        advance(now);
        RunningTask known = running.get(task);
        if (known != null) {
            String point = checkpoint ? POINT_PREFIX + known.done(now).toMillis() : "";
            end(now, known, STOPPED, point, new byte[0]);
        }
        return Optional.ofNullable(ended.get(task));
    }

    /**
     * Limits the speed of a task.
     *
     * @param now the current time
     * @param task the task
     * @param percent the speed, 1 to 100
     * @return the task, if it runs
     */
    public Optional<TaskView> throttle(Instant now, TaskKey task, int percent) {
        if (percent < 1 || percent > FULL_SPEED_PERCENT) {
            throw new IllegalArgumentException("percent must be between 1 and 100: " + percent);
        }
        advance(now);
        RunningTask known = running.get(task);
        if (known == null) {
            return Optional.empty();
        }
        known.throttle(now, percent);
        return Optional.of(view(known, RUNNING, "", new byte[0]));
    }

    /**
     * Renews leases, forgets ended tasks and reports.
     *
     * @param now the current time
     * @param renewed the tasks to renew
     * @param leaseUntil until when
     * @param acknowledged the tasks to forget
     * @param connections open connections
     * @return the report
     */
    public WorkerView report(
            Instant now, List<TaskKey> renewed, Instant leaseUntil, List<TaskKey> acknowledged, int connections) {
        advance(now);
        for (TaskKey task : renewed) {
            RunningTask known = running.get(task);
            if (known != null) {
                known.renew(leaseUntil);
            }
        }
        acknowledged.forEach(ended::remove);
        List<TaskView> tasks = new ArrayList<>(ended.values());
        running.values().forEach(task -> tasks.add(view(task, RUNNING, "", new byte[0])));
        UsageView usage = new UsageView(used(), usageLag.toMillis());
        return new WorkerView(tasks, List.copyOf(requests.keySet()), connections, usage);
    }

    /**
     * Ends tasks that are done or whose leases have lapsed.
     *
     * @param now the current time
     */
    public void advance(Instant now) {
        for (RunningTask task : List.copyOf(running.values())) {
            Instant done = task.finishesAt();
            boolean lapsedFirst = task.leaseUntil().isBefore(done);
            if (lapsedFirst && !now.isBefore(task.leaseUntil())) {
                running.remove(task.order().task());
                log.add(new LogEntry(
                        task.leaseUntil(),
                        LogEntry.Event.TASK_ENDED,
                        id(task.order().task()),
                        "lease lapsed"));
            } else if (!lapsedFirst && !now.isBefore(done)) {
                finish(done, task);
            }
        }
    }

    /**
     * Returns what is in use.
     *
     * @return the sum of the sizes of the running tasks
     */
    public TaskSize used() {
        long milliCores = 0;
        long memory = 0;
        int accelerators = 0;
        for (RunningTask task : running.values()) {
            milliCores += task.order().size().milliCores();
            memory += task.order().size().memoryMegabytes();
            accelerators += task.order().size().accelerators();
        }
        return new TaskSize(milliCores, memory, accelerators);
    }

    /**
     * Returns how many slots are in use.
     *
     * @return requests and tasks
     */
    public int busySlots() {
        return requests.size() + running.size();
    }

    /**
     * Returns the running tasks.
     *
     * @return the tasks
     */
    public List<TaskKey> runningTasks() {
        return List.copyOf(running.keySet());
    }

    /**
     * Returns the ended tasks that nobody has acknowledged yet.
     *
     * @return the tasks
     */
    public List<TaskKey> unacknowledgedTasks() {
        return List.copyOf(ended.keySet());
    }

    /**
     * Returns everything that happened.
     *
     * @return the log
     */
    public List<LogEntry> log() {
        return List.copyOf(log);
    }

    private void finish(Instant done, RunningTask task) {
        boolean failed = WorkScript.fails(task.order().payload());
        String result =
                "{\"worker\":\"" + name + "\",\"task\":\"" + id(task.order().task()) + "\"}";
        byte[] bytes = failed ? new byte[0] : result.getBytes(StandardCharsets.UTF_8);
        end(done, task, failed ? FAILED : FINISHED, "", bytes);
    }

    private void end(Instant at, RunningTask task, String phase, String point, byte[] result) {
        running.remove(task.order().task());
        ended.put(task.order().task(), view(task, phase, point, result));
        log.add(new LogEntry(at, LogEntry.Event.TASK_ENDED, id(task.order().task()), phase + " " + point));
    }

    private static TaskView view(RunningTask task, String phase, String point, byte[] result) {
        return new TaskView(
                task.order().task(), task.order().kind(), task.order().size(), phase, point, result);
    }

    private static Duration donePart(String resumePoint) {
        if (!resumePoint.startsWith(POINT_PREFIX)) {
            return Duration.ZERO;
        }
        return Duration.ofMillis(Long.parseLong(resumePoint.substring(POINT_PREFIX.length())));
    }

    private static String id(TaskKey task) {
        return task.job() + "#" + task.attempt();
    }

    private static String text(byte[] payload) {
        return new String(payload, StandardCharsets.UTF_8);
    }

    private static String quoted(byte[] payload) {
        return org.flamingopitch.coordination.api.JsonCodec.json().encode(text(payload));
    }

    private static final class RunningTask {

        private final TaskOrder order;

        private Instant rateSince;

        private Duration doneBefore;

        private int percent = FULL_SPEED_PERCENT;

        private Instant leaseUntil;

        private RunningTask(TaskOrder order, Instant startedAt, Duration doneBefore) {
            this.order = order;
            this.rateSince = startedAt;
            this.doneBefore = doneBefore;
            this.leaseUntil = order.leaseUntil();
        }

        private TaskOrder order() {
            return order;
        }

        private Instant leaseUntil() {
            return leaseUntil;
        }

        private void renew(Instant until) {
            if (until.isAfter(leaseUntil)) {
                leaseUntil = until;
            }
        }

        private Duration done(Instant now) {
            Duration elapsed = Duration.between(rateSince, now);
            return doneBefore.plus(elapsed.multipliedBy(percent).dividedBy(FULL_SPEED_PERCENT));
        }

        private Instant finishesAt() {
            Duration left = WorkScript.duration(order.payload()).minus(doneBefore);
            return rateSince.plus(left.multipliedBy(FULL_SPEED_PERCENT).dividedBy(percent));
        }

        private void throttle(Instant now, int newPercent) {
            doneBefore = done(now);
            rateSince = now;
            percent = newPercent;
        }
    }
}
