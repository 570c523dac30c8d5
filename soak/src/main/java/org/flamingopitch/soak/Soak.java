package org.flamingopitch.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Plays one seed: starts a deployment, injects the faults of the seed, and checks the rules. */
final class Soak {

    /** When everything accepted must be done after the last fault: contactMs, recoveryS and finish_s of the rules. */
    static final long FINISH_MILLIS = FaultHistory.CONTACT_MILLIS + 12_000 + 14_000;

    /** When the tasks of a cancelled job must be gone: contactMs, cancel_ms and stopTimeoutMs of the rules. */
    private static final long CANCEL_MILLIS = FaultHistory.CONTACT_MILLIS + Ledger.CANCEL_MILLIS + 900;

    private static final int CALLERS = 6;

    private static final long POLL_MILLIS = 200;

    private final long seed;

    private final Path root;

    private final Path directory;

    private final Timeline timeline;

    private final ExecutorService threads = Executors.newCachedThreadPool(daemonThreads());

    private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(8, daemonThreads());

    private EventLog log;

    private FaultHistory faults;

    private Ledger ledger;

    private Deployment deployment;

    /**
     * Prepares the soak of a seed.
     *
     * @param root the directory of the project, in which the program is built
     * @param directory where the logs go
     */
    Soak(long seed, Path root, Path directory, Timeline timeline) {
        this.seed = seed;
        this.root = root;
        this.directory = directory;
        this.timeline = timeline;
    }

    private static ThreadFactory daemonThreads() {
        return action -> {
            Thread thread = new Thread(action);
            thread.setDaemon(true);
            return thread;
        };
    }

    SoakResult play() throws IOException, InterruptedException, ExecutionException {
        Files.createDirectories(directory);
        SplittableRandom random = new SplittableRandom(seed);
        FaultSchedule schedule = FaultSchedule.draw(random.split());
        log = new EventLog(timeline, directory.resolve("events.log"));
        faults = new FaultHistory(timeline);
        ledger = new Ledger(timeline, faults, log);
        deployment = new Deployment(timeline, threads, timer, log, ledger, random.split());
        Thread hook = new Thread(this::stopDeployment);
        Runtime.getRuntime().addShutdownHook(hook);
        try {
            deployment.start(root, directory, random.split());
            List<Caller> callers = new ArrayList<>();
            List<Future<Void>> calls = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                Caller caller = new Caller(deployment, ledger, timeline, random.split());
                callers.add(caller);
                calls.add(threads.submit(() -> {
                    caller.run();
                    return null;
                }));
            }
            for (List<Fault> series : schedule.series()) {
                timeline.pause(FaultSchedule.CALM_MILLIS);
                inject(series);
            }
            long until = timeline.millis() + FINISH_MILLIS;
            timeline.pause(FaultHistory.CONTACT_MILLIS);
            callers.forEach(Caller::stop);
            for (Future<Void> call : calls) {
                awaitCaller(call, until);
            }
            awaitEnds(callers.get(0), until);
            return new SoakResult(
                    seed, ledger.startCount(), ledger.endCount(), faults.counts(), ledger.finish(), directory);
        } finally {
            stopDeployment();
            Runtime.getRuntime().removeShutdownHook(hook);
            timer.shutdownNow();
            threads.shutdownNow();
            log.close();
        }
    }

    private void stopDeployment() {
        try {
            deployment.stop();
        } catch (IOException e) {
            log.line("not stopped: %s", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Injects a series of faults and waits until all have ended. */
    private void inject(List<Fault> series) throws InterruptedException, ExecutionException {
        long beginAt = timeline.millis();
        List<Future<Void>> running = new ArrayList<>();
        for (Fault fault : series) {
            running.add(threads.submit(() -> {
                timeline.pause(Math.max(0, beginAt + fault.beginAt() - timeline.millis()));
                inject(fault);
                return null;
            }));
        }
        for (Future<Void> each : running) {
            each.get();
        }
        log.line("the series of faults has ended");
    }

    private void inject(Fault planned) throws IOException, InterruptedException {
        Fault fault =
                planned.host() == Fault.OWNER ? planned.at(deployment.store().lastConditionalWriter()) : planned;
        log.line(
                "fault %s begins at host %d, worker %d, for %d ms",
                fault.kind(), fault.host(), fault.worker(), fault.durationMillis());
        faults.begin(fault.kind());
        fault.kind().begin(deployment, fault);
        timeline.pause(fault.durationMillis());
        fault.kind().end(deployment, fault);
        faults.end();
        log.line("fault %s ends", fault.kind());
    }

    private void awaitCaller(Future<Void> call, long until) throws InterruptedException, ExecutionException {
        try {
            call.get(Math.max(1, until - timeline.millis()), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            call.cancel(true);
            ledger.report(Rule.LOST, "a submission has no answer " + FINISH_MILLIS + " ms after the last fault");
        }
    }

    /** Asks for all accepted jobs until they have ended, then cancels those that last. */
    private void awaitEnds(Caller caller, long until) throws IOException, InterruptedException {
        List<Submission> open = new ArrayList<>(ledger.submissions().stream()
                .filter(job -> job.accepted() && !job.cancelSent())
                .toList());
        while (!open.isEmpty() && timeline.millis() < until) {
            for (Submission job : List.copyOf(open)) {
                if (hasEnded(caller, job.plan())) {
                    open.remove(job);
                }
            }
            timeline.pause(POLL_MILLIS);
        }
        open.forEach(job -> ledger.report(
                Rule.LOST,
                "job " + job.plan().id().text() + " is not done " + FINISH_MILLIS + " ms after the last fault"));
        long cancelUntil = timeline.millis() + CANCEL_MILLIS;
        for (Submission job : ledger.submissions()) {
            if (job.accepted()
                    && job.plan().lasts()
                    && !caller.cancelUntil(job.plan().id(), cancelUntil)) {
                ledger.report(Rule.LOST, "the cancel of job " + job.plan().id().text() + " has no answer");
            }
        }
        awaitCancelledTasks(timeline.millis() + CANCEL_MILLIS);
    }

    private boolean hasEnded(Caller caller, JobPlan plan) throws IOException, InterruptedException {
        if (plan.lasts()) {
            return ledger.runsInFull(plan);
        }
        String state = caller.askState(plan.id());
        return state.equals("done") || state.equals("failed");
    }

    private void awaitCancelledTasks(long until) throws InterruptedException {
        List<Submission> running = runningCancelledJobs();
        while (!running.isEmpty() && timeline.millis() < until) {
            timeline.pause(POLL_MILLIS);
            running = runningCancelledJobs();
        }
        running.forEach(job -> ledger.report(
                Rule.UNASKED, "tasks of the cancelled job " + job.plan().id().text() + " run on"));
    }

    private List<Submission> runningCancelledJobs() {
        return ledger.submissions().stream()
                .filter(job -> job.cancelledBefore(timeline.millis()) && ledger.runs(job.plan()))
                .toList();
    }
}
