package org.flamingopitch.standins.worker;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Simulates a worker: requests and tasks take the time that their payload states, and no resource limit is enforced.
 * Callers pass the current time. Not thread-safe.
 */
public final class WorkerModel {

    private static final String RUNNING = "RUNNING";

    private static final String STOPPED = "STOPPED";

    private static final String FINISHED = "FINISHED";

    private static final String FAILED = "FAILED";

    private static final int FULL_SPEED_PERCENT = 100;

    private static final String CHECKPOINT_PREFIX = "done-millis=";

    private final String name;

    private final Duration usageAge;

    private final Map<String, Instant> requests = new TreeMap<>();

    private final Map<TaskKey, RunningTask> running = new TreeMap<>();

    private final Map<TaskKey, TaskView> ended = new TreeMap<>();

    private final List<LogEntry> log = new ArrayList<>();

    private long answerCount;

    /**
     * Creates a worker.
     *
     * @param name the name of the worker
     * @param usageAge the age that it reports for its usage measurements
     */
    public WorkerModel(String name, Duration usageAge) {
        this.name = name;
        this.usageAge = usageAge;
    }

    /**
     * Begins a request.
     *
     * @param now the current time
     * @param id the id of the request
     * @param kind the kind of work
     * @param payload the body of the request
     * @return how long the request takes
     */
    public Duration beginRequest(Instant now, String id, String kind, byte[] payload) {
        requests.put(id, now);
        log.add(new LogEntry(now, LogEntry.Event.REQUEST_STARTED, id, kind + " " + decodeUtf8(payload)));
        return WorkPayload.workDuration(payload);
    }

    /**
     * Ends a request.
     *
     * @param now the current time
     * @param id the id of the request
     * @param payload the body of the request
     * @return the answer as JSON
     */
    public String endRequest(Instant now, String id, byte[] payload) {
        requests.remove(id);
        answerCount++;
        log.add(new LogEntry(now, LogEntry.Event.REQUEST_ENDED, id, ""));
        return "{\"worker\":\"" + name + "\",\"answer\":" + answerCount + ",\"echo\":" + toJsonString(payload) + "}";
    }

    /**
     * Starts a task, even if resources are exhausted; has no effect if the task is running.
     *
     * @param now the current time
     * @param order the task to start
     * @return why the task was not started, or empty if it is running
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
        running.put(order.task(), new RunningTask(order, now, parseCompletedWork(order.resumePoint())));
        log.add(new LogEntry(now, LogEntry.Event.TASK_STARTED, taskId(order.task()), order.resumePoint()));
        return Optional.empty();
    }

    /**
     * Stops a task, with or without a checkpoint.
     *
     * @param now the current time
     * @param task the task
     * @param checkpoint whether to return a checkpoint from which the work can resume
     * @return the ended task, or empty if it is unknown
     */
    public Optional<TaskView> stop(Instant now, TaskKey task, boolean checkpoint) {
        advance(now);
        RunningTask runningTask = running.get(task);
        if (runningTask != null) {
            String checkpointText = checkpoint
                    ? CHECKPOINT_PREFIX + runningTask.completedWork(now).toMillis()
                    : "";
            endTask(now, runningTask, STOPPED, checkpointText, new byte[0]);
        }
        return Optional.ofNullable(ended.get(task));
    }

    /**
     * Limits the speed of a task to a percentage of full speed.
     *
     * @param now the current time
     * @param task the task
     * @param speedPercent the speed, 1 to 100
     * @return the task, or empty if it is not running
     * @throws IllegalArgumentException if the percentage is out of range
     */
    public Optional<TaskView> throttle(Instant now, TaskKey task, int speedPercent) {
        if (speedPercent < 1 || speedPercent > FULL_SPEED_PERCENT) {
            throw new IllegalArgumentException("percent must be between 1 and 100: " + speedPercent);
        }
        advance(now);
        RunningTask runningTask = running.get(task);
        if (runningTask == null) {
            return Optional.empty();
        }
        runningTask.throttle(now, speedPercent);
        return Optional.of(toView(runningTask, RUNNING, "", new byte[0]));
    }

    /**
     * Renews the leases of running tasks, removes acknowledged ended tasks and returns the state of the worker.
     *
     * @param now the current time
     * @param renewed the tasks whose leases are renewed
     * @param leaseUntil the new end of these leases; never shortens a lease
     * @param acknowledged the ended tasks to remove
     * @param connections the number of open connections, which is reported as given
     * @return the state of the worker
     */
    public WorkerView report(
            Instant now, List<TaskKey> renewed, Instant leaseUntil, List<TaskKey> acknowledged, int connections) {
        advance(now);
        for (TaskKey task : renewed) {
            RunningTask runningTask = running.get(task);
            if (runningTask != null) {
                runningTask.renew(leaseUntil);
            }
        }
        acknowledged.forEach(ended::remove);
        List<TaskView> tasks = new ArrayList<>(ended.values());
        running.values().forEach(task -> tasks.add(toView(task, RUNNING, "", new byte[0])));
        UsageView usage = new UsageView(used(), usageAge.toMillis());
        return new WorkerView(tasks, List.copyOf(requests.keySet()), connections, usage);
    }

    /**
     * Ends the tasks that have finished or whose leases have expired.
     *
     * @param now the current time
     */
    public void advance(Instant now) {
        for (RunningTask task : List.copyOf(running.values())) {
            Instant finishTime = task.finishTime();
            boolean lapsesBeforeFinish = task.leaseUntil().isBefore(finishTime);
            if (lapsesBeforeFinish && !now.isBefore(task.leaseUntil())) {
                running.remove(task.order().task());
                log.add(new LogEntry(
                        task.leaseUntil(),
                        LogEntry.Event.TASK_ENDED,
                        taskId(task.order().task()),
                        "lease lapsed"));
            } else if (!lapsesBeforeFinish && !now.isBefore(finishTime)) {
                finishTask(finishTime, task);
            }
        }
    }

    /**
     * Returns the resources in use.
     *
     * @return the sum of the sizes of the running tasks
     */
    public TaskSize used() {
        long milliCores = 0;
        long memoryMegabytes = 0;
        int accelerators = 0;
        for (RunningTask task : running.values()) {
            milliCores += task.order().size().milliCores();
            memoryMegabytes += task.order().size().memoryMegabytes();
            accelerators += task.order().size().accelerators();
        }
        return new TaskSize(milliCores, memoryMegabytes, accelerators);
    }

    /**
     * Returns the number of slots in use.
     *
     * @return the number of requests in progress and running tasks
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
     * Returns the ended tasks that were not acknowledged yet.
     *
     * @return the tasks
     */
    public List<TaskKey> unacknowledgedTasks() {
        return List.copyOf(ended.keySet());
    }

    /**
     * Returns the events since the worker was created.
     *
     * @return the events in the order in which they were recorded
     */
    public List<LogEntry> log() {
        return List.copyOf(log);
    }

    private void finishTask(Instant finishTime, RunningTask task) {
        boolean failed = WorkPayload.requestsFailure(task.order().payload());
        String result =
                "{\"worker\":\"" + name + "\",\"task\":\"" + taskId(task.order().task()) + "\"}";
        byte[] bytes = failed ? new byte[0] : result.getBytes(StandardCharsets.UTF_8);
        endTask(finishTime, task, failed ? FAILED : FINISHED, "", bytes);
    }

    private void endTask(Instant at, RunningTask task, String phase, String checkpointText, byte[] result) {
        running.remove(task.order().task());
        ended.put(task.order().task(), toView(task, phase, checkpointText, result));
        log.add(new LogEntry(at, LogEntry.Event.TASK_ENDED, taskId(task.order().task()), phase + " " + checkpointText));
    }

    private static TaskView toView(RunningTask task, String phase, String checkpointText, byte[] result) {
        return new TaskView(
                task.order().task(), task.order().kind(), task.order().size(), phase, checkpointText, result);
    }

    private static Duration parseCompletedWork(String resumePoint) {
        if (!resumePoint.startsWith(CHECKPOINT_PREFIX)) {
            return Duration.ZERO;
        }
        return Duration.ofMillis(Long.parseLong(resumePoint.substring(CHECKPOINT_PREFIX.length())));
    }

    private static String taskId(TaskKey task) {
        return task.job() + "#" + task.attempt();
    }

    private static String decodeUtf8(byte[] payload) {
        return new String(payload, StandardCharsets.UTF_8);
    }

    private static String toJsonString(byte[] payload) {
        return org.flamingopitch.coordination.api.JsonCodec.json().encode(decodeUtf8(payload));
    }

    private static final class RunningTask {

        private final TaskOrder order;

        private Instant speedSince;

        private Duration completedBefore;

        private int speedPercent = FULL_SPEED_PERCENT;

        private Instant leaseUntil;

        private RunningTask(TaskOrder order, Instant startedAt, Duration completedBefore) {
            this.order = order;
            this.speedSince = startedAt;
            this.completedBefore = completedBefore;
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

        private Duration completedWork(Instant now) {
            Duration elapsed = Duration.between(speedSince, now);
            return completedBefore.plus(elapsed.multipliedBy(speedPercent).dividedBy(FULL_SPEED_PERCENT));
        }

        private Instant finishTime() {
            Duration remaining = WorkPayload.workDuration(order.payload()).minus(completedBefore);
            return speedSince.plus(remaining.multipliedBy(FULL_SPEED_PERCENT).dividedBy(speedPercent));
        }

        private void throttle(Instant now, int newSpeedPercent) {
            completedBefore = completedWork(now);
            speedSince = now;
            speedPercent = newSpeedPercent;
        }
    }
}
