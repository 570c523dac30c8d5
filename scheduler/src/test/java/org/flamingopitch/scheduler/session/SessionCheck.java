package org.flamingopitch.scheduler.session;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.flamingopitch.scheduler.message.JobAnswer;
import org.flamingopitch.scheduler.model.KindName;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerSpec;
import org.flamingopitch.scheduler.node.CallerAnswer;
import org.flamingopitch.scheduler.node.CallerRequest;
import org.flamingopitch.standins.worker.LogEntry;

/** Checks every {@link Guarantee} on the workers' logs and the callers' answers, not on the scheduler's state. */
final class SessionCheck {

    /** Time after which a worker that the host list shows as leaving must get no new work. */
    private static final Duration MAX_START_DELAY_AFTER_LEAVING = Duration.ofSeconds(3);

    /** Time for a version to come into force, from its acceptance, the process start or the end of the last fault. */
    private static final Duration MAX_CONFIGURATION_DELAY = Duration.ofSeconds(17);

    private final Session session;

    private final List<Violation> violations = new ArrayList<>();

    /** Runs of tasks by job. */
    private final Map<String, List<TaskRun>> taskRuns = new TreeMap<>();

    /** Start times of requests by payload, which is unique to a call. */
    private final Map<String, List<Instant>> requestStartTimes = new HashMap<>();

    private SessionCheck(Session session) {
        this.session = session;
    }

    /** Returns the violations of a finished session. */
    static List<Violation> check(Session session) {
        SessionCheck check = new SessionCheck(session);
        session.workers().values().forEach(check::replayWorkerLog);
        check.checkExclusive();
        check.checkCalls();
        check.checkAtMostOnce();
        check.checkGracefulShutdown();
        check.checkConfiguration();
        check.checkProgress();
        return check.violations;
    }

    private void replayWorkerLog(SimWorker worker) {
        WorkerSpec spec = session.configuration().dataCentres().stream()
                .flatMap(centre -> centre.racks().stream())
                .flatMap(rack -> rack.workers().stream())
                .filter(each -> each.name().value().equals(worker.name()))
                .findFirst()
                .orElseThrow();
        Instant leavingSince = session.log().leavingSince().get(worker.name());
        Map<String, Resources> running = new HashMap<>();
        List<LogEntry> entries = new ArrayList<>(worker.model().log());
        entries.sort(Comparator.comparing(LogEntry::at));
        for (LogEntry entry : entries) {
            replayEntry(worker, entry, running);
            checkCapacity(spec, running, entry);
            checkLeaving(worker, leavingSince, entry);
        }
        endRunsWithoutEndEntry(worker);
    }

    private void replayEntry(SimWorker worker, LogEntry entry, Map<String, Resources> running) {
        switch (entry.event()) {
            case REQUEST_STARTED -> {
                String kind = entry.detail().substring(0, entry.detail().indexOf(' '));
                String payload = entry.detail().substring(kind.length() + 1);
                running.put("request " + entry.id(), sizeOfKind(kind));
                requestStartTimes
                        .computeIfAbsent(payload, each -> new ArrayList<>())
                        .add(entry.at());
            }
            case REQUEST_ENDED -> running.remove("request " + entry.id());
            case TASK_STARTED -> {
                running.put("task " + entry.id(), sizeOfKind(Deployment.BATCH));
                runsOfJob(entry.id()).add(new TaskRun(worker.name(), entry.id(), entry.detail(), entry.at()));
            }
            case TASK_ENDED -> {
                running.remove("task " + entry.id());
                runsOfJob(entry.id()).stream()
                        .filter(run -> run.worker.equals(worker.name()) && run.id.equals(entry.id()))
                        .forEach(run -> run.end(entry.at(), entry.detail()));
            }
            default -> throw new IllegalStateException("unknown event " + entry.event());
        }
    }

    /** Ends runs that have no end entry when their worker died, or at the end of the session. */
    private void endRunsWithoutEndEntry(SimWorker worker) {
        taskRuns.values()
                .forEach(runs -> runs.stream()
                        .filter(run -> run.worker.equals(worker.name()) && run.endedAt == null)
                        .forEach(run -> run.endWithoutEntry(worker.dead() ? worker.diedAt() : session.now())));
    }

    private List<TaskRun> runsOfJob(String task) {
        return taskRuns.computeIfAbsent(task.substring(0, task.lastIndexOf('#')), job -> new ArrayList<>());
    }

    private Resources sizeOfKind(String kind) {
        return session.configuration().kind(new KindName(kind)).orElseThrow().size();
    }

    private void checkCapacity(WorkerSpec spec, Map<String, Resources> running, LogEntry entry) {
        Resources used = Resources.NONE;
        for (Resources size : running.values()) {
            used = used.plus(size);
        }
        if (running.size() > spec.slots() || !used.fitsInto(spec.capacity())) {
            addViolation(
                    Guarantee.CAPACITY,
                    spec.name() + " exceeds its capacity or slots with " + running.keySet() + " at " + entry.at());
        }
    }

    private void checkLeaving(SimWorker worker, Instant leavingSince, LogEntry entry) {
        boolean startsWork =
                entry.event() == LogEntry.Event.REQUEST_STARTED || entry.event() == LogEntry.Event.TASK_STARTED;
        if (leavingSince != null
                && startsWork
                && entry.at().isAfter(leavingSince.plus(MAX_START_DELAY_AFTER_LEAVING))) {
            addViolation(Guarantee.LEAVING, worker.name() + " was given work after it was listed as leaving: " + entry);
        }
    }

    private void checkExclusive() {
        for (List<TaskRun> runs : taskRuns.values()) {
            runs.sort(Comparator.comparing(run -> run.startedAt));
            for (int i = 1; i < runs.size(); i++) {
                TaskRun before = runs.get(i - 1);
                TaskRun after = runs.get(i);
                if (after.startedAt.isBefore(before.endedAt)) {
                    addViolation(Guarantee.EXCLUSIVE, before + " overlaps " + after);
                }
            }
            checkResumption(runs);
        }
    }

    private void checkResumption(List<TaskRun> runs) {
        Set<String> attempts = new HashSet<>();
        for (int i = 0; i < runs.size(); i++) {
            if (!attempts.add(runs.get(i).id)) {
                addViolation(Guarantee.RESUME_ONCE, "attempt started twice: " + runs.get(i));
            }
            boolean stopped = runs.get(i).ending.startsWith("STOPPED done-millis");
            boolean mustResume = i + 1 < runs.size() && !checkpointLostWithWorker(runs.get(i));
            if (stopped && mustResume && !runs.get(i).ending.equals("STOPPED " + runs.get(i + 1).resumePoint)) {
                addViolation(
                        Guarantee.RESUME_ONCE,
                        runs.get(i) + " was not resumed from its checkpoint: " + runs.get(i + 1));
            }
        }
    }

    /** Returns whether a checkpoint was lost because its worker died before the owner had acknowledged it. */
    private boolean checkpointLostWithWorker(TaskRun run) {
        SimWorker worker = session.workers().get(run.worker);
        return worker.dead()
                && worker.model().unacknowledgedTasks().stream()
                        .anyMatch(task -> (task.job() + "#" + task.attempt()).equals(run.id));
    }

    private void checkCalls() {
        for (CallRecord call : session.log().calls()) {
            for (CallRecord.Reply reply : call.replies()) {
                checkReply(call, reply);
            }
            if (call.replies().size() < call.tries()) {
                addViolation(
                        Guarantee.OWN_ANSWER, call.name() + " got fewer replies than it made tries: " + call.replies());
            }
        }
    }

    private void checkReply(CallRecord call, CallRecord.Reply reply) {
        if (reply.answer() instanceof CallerAnswer.RunAnswer run) {
            checkOutcome(call, reply, run.outcome());
        } else if (reply.answer() instanceof CallerAnswer.JobAnswered answered
                && answered.answer() instanceof JobAnswer.Refused
                && call.request() instanceof CallerRequest.Job
                && reply.tries() == 1
                && call.tries() == 1
                && taskRuns.containsKey(call.name())) {
            addViolation(Guarantee.NOT_RUN, call.name() + " was refused but ran");
        }
    }

    private void checkOutcome(CallRecord call, CallRecord.Reply reply, Outcome outcome) {
        String echo = call.payload().replace("\"", "\\\"");
        if (outcome instanceof Outcome.Done done && !done.answer().text().contains("\"echo\":\"" + echo + "\"")) {
            addViolation(
                    Guarantee.OWN_ANSWER,
                    call.name() + " got an answer that does not echo its payload: "
                            + done.answer().text());
        }
        boolean lastTry = reply.tries() == call.tries();
        List<Instant> starts = requestStartTimes.getOrDefault(call.payload(), List.of());
        boolean ran = starts.stream().anyMatch(start -> lastTry || !start.isAfter(reply.at()));
        if (outcome instanceof Outcome.NotRun && ran && firstTryThatMayHaveRun(call) >= reply.tries()) {
            addViolation(
                    Guarantee.NOT_RUN,
                    call.name() + " was answered \"not run\" at " + reply.at() + ", ran at " + starts);
        }
    }

    /** Returns the first try that may have run: its answer was not "not run", or its connection was cut. */
    private static int firstTryThatMayHaveRun(CallRecord call) {
        for (CallRecord.Reply reply : call.replies()) {
            boolean notRun =
                    reply.answer() instanceof CallerAnswer.RunAnswer run && run.outcome() instanceof Outcome.NotRun;
            if (!notRun) {
                return reply.tries();
            }
        }
        return Integer.MAX_VALUE;
    }

    private void checkAtMostOnce() {
        for (CallRecord call : session.log().calls()) {
            boolean neverRepeated = call.name().startsWith("hold-");
            int starts =
                    requestStartTimes.getOrDefault(call.payload(), List.of()).size();
            if (neverRepeated && starts > 1) {
                addViolation(Guarantee.AT_MOST_ONCE, call.name() + " ran " + starts + " times");
            }
        }
        taskRuns.forEach((job, runs) -> {
            if (job.startsWith("carving")) {
                checkNeverRepeatedJob(runs);
            }
        });
    }

    /** Checks that a run follows another only if that one stopped with a checkpoint. */
    private void checkNeverRepeatedJob(List<TaskRun> runs) {
        for (int i = 1; i < runs.size(); i++) {
            if (!runs.get(i - 1).ending.startsWith("STOPPED done-millis")) {
                addViolation(
                        Guarantee.AT_MOST_ONCE,
                        "never-repeated job run again after " + runs.get(i - 1) + ": " + runs.get(i));
            }
        }
    }

    private void checkGracefulShutdown() {
        session.log()
                .cutOffByDrain()
                .forEach(call -> addViolation(Guarantee.GRACEFUL, call + " was cut off by a graceful shutdown"));
    }

    private void checkConfiguration() {
        session.log().configVersions().forEach((process, versions) -> {
            for (int i = 1; i < versions.size(); i++) {
                if (versions.get(i).version() <= versions.get(i - 1).version()) {
                    addViolation(
                            Guarantee.CONFIGURATION, process + " applied versions that do not increase: " + versions);
                }
            }
        });
        List<SessionLog.TimedVersion> accepted = session.log().acceptedVersions();
        long distinct = accepted.stream()
                .map(SessionLog.TimedVersion::version)
                .distinct()
                .count();
        if (distinct != accepted.size()) {
            addViolation(Guarantee.CONFIGURATION, "version accepted more than once: " + accepted);
        }
        accepted.forEach(this::checkConfigurationInForce);
    }

    private void checkConfigurationInForce(SessionLog.TimedVersion accepted) {
        Instant disturbedUntil = session.log().disturbedUntil();
        Instant undisturbedSince = disturbedUntil.isAfter(accepted.at()) ? disturbedUntil : accepted.at();
        for (SimProcess process : session.processes()) {
            Instant since = process.startedAt().isAfter(undisturbedSince) ? process.startedAt() : undisturbedSince;
            Instant due = since.plus(MAX_CONFIGURATION_DELAY);
            boolean inForce = session.log().configVersions().getOrDefault(process.id(), List.of()).stream()
                    .anyMatch(each ->
                            each.version() >= accepted.version() && !each.at().isAfter(due));
            if (process.alive() && !inForce && !session.now().isBefore(due)) {
                addViolation(Guarantee.CONFIGURATION, accepted + " was not in force at " + process.id() + " by " + due);
            }
        }
    }

    private void checkProgress() {
        for (CallRecord call : session.log().calls()) {
            boolean accepted = call.replies().stream()
                    .anyMatch(reply -> reply.answer() instanceof CallerAnswer.JobAnswered answered
                            && answered.answer() instanceof JobAnswer.Known);
            boolean render = call.name().startsWith("render");
            boolean finished = taskRuns.getOrDefault(call.name(), List.of()).stream()
                    .anyMatch(run -> run.ending.startsWith("FINISHED"));
            if (accepted && render && !finished) {
                addViolation(
                        Guarantee.PROGRESS,
                        call.name() + " was accepted but did not finish: " + taskRuns.get(call.name()));
            }
        }
    }

    private void addViolation(Guarantee guarantee, String detail) {
        violations.add(new Violation(guarantee, detail));
    }

    /** One run of a task on a worker, as its log shows it. */
    private static final class TaskRun {

        private final String worker;

        private final String id;

        private final String resumePoint;

        private final Instant startedAt;

        private Instant endedAt;

        private String ending = "open";

        private TaskRun(String worker, String id, String resumePoint, Instant startedAt) {
            this.worker = worker;
            this.id = id;
            this.resumePoint = resumePoint;
            this.startedAt = startedAt;
        }

        private void end(Instant at, String detail) {
            endedAt = at;
            ending = detail;
        }

        private void endWithoutEntry(Instant at) {
            endedAt = at;
        }

        @Override
        public String toString() {
            return id + " on " + worker + " from \"" + resumePoint + "\" " + startedAt + " to " + endedAt + " "
                    + ending;
        }
    }
}
