package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.TaskRef;

/**
 * A session with jobs and disruptions that a seed decides, and a quiet phase at its end. Best-effort tasks raise the
 * reported response times of the latency-critical tasks beside them.
 */
final class DrawnSession {

    static final Duration STEP = Duration.ofMillis(20);

    private static final Duration CALM_AFTER_DISRUPTION = Duration.ofSeconds(7);

    private static final Duration QUIET_TIME = Duration.ofSeconds(22);

    private static final Duration DOWN_TIME = Duration.ofMillis(3_200);

    private static final long MILLI_CORES = 16_000;

    private final SplittableRandom random;

    private final CellSession session;

    private final DrawnPlan plan;

    private final IdleJobCheck check = new IdleJobCheck();

    private final Map<String, FakeWorker> workers = new LinkedHashMap<>();

    private final List<DrawnJob> jobs;

    /** What happens at which time after the start. */
    private final TreeMap<Duration, List<Runnable>> actions = new TreeMap<>();

    private final Map<FakeWorker, Duration> crashedFor = new HashMap<>();

    /** The work done by each run, in thousandths of a second at full speed. */
    private final Map<FakeWorker, Map<TaskRef, Double>> progress = new HashMap<>();

    private final Set<FakeWorker> lostForGood = new HashSet<>();

    private final Set<String> hostsDown = new HashSet<>();

    /** Whether workers come back under the name that they had. */
    private final boolean sameId;

    private final double loadSwing;

    /** Decides the closing; null if the session has none. Apart from {@link #random}, so that the seeds keep their meaning. */
    private final SplittableRandom closing;

    private Duration now = Duration.ZERO;

    private int addedWorkers;

    private enum Disruption {
        HOST_KILLED,
        ALL_HOSTS_KILLED,
        STORE_RESETS,
        STORE_OUTAGE,
        WORKERS_CRASH,
        WORKERS_LOST,
        WORKERS_SILENT,
        STARTS_LOST,
        LATE_ORDERS,
        ENTRIES_MISSING,
        DRAINING,
        EVACUATION,
        CANCELS
    }

    DrawnSession(long seed) {
        this(seed, null);
    }

    private DrawnSession(long seed, SplittableRandom closing) {
        this.closing = closing;
        random = new SplittableRandom(seed);
        session = new CellSession(seed);
        plan = new DrawnPlan(random);
        sameId = random.nextInt(3) == 0;
        loadSwing = random.nextInt(2) == 0 ? 0 : 0.4;
        jobs = plan.jobs();
    }

    /**
     * Creates a session whose last disruption is a closing: all hosts lose power for 1 to 4 s, and up to three groups of
     * workers are lost, silent, reborn or reclaimed at the same moment or in the second before.
     */
    static DrawnSession withClosing(long seed) {
        return new DrawnSession(seed, new SplittableRandom(~seed));
    }

    /** Plays the session and returns the check that judged its quiet phase. */
    IdleJobCheck play() {
        session.store().setLeasesExpire(true);
        int workerCount = 6 + random.nextInt(7);
        int labelled = 2 + random.nextInt(3);
        for (int i = 0; i < workerCount; i++) {
            FakeWorker worker = addWorker("w" + i, "w" + i + ":1");
            worker.setRack(i < labelled ? "special" : "r" + i % 2);
            worker.setDataCentre(i % 3 == 2 ? "b" : "a");
        }
        addedWorkers = workerCount;
        plan.drawJobs(workerCount);
        session.store().write("flamingopitch/learned", plan.learnedRecord());
        session.configure(plan.configuration());
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
        scheduleJobs();
        Duration lastDisruption = scheduleDisruptions();
        Duration end = lastDisruption.plus(QUIET_TIME);
        while (now.compareTo(end) < 0) {
            advance();
            if (now.compareTo(lastDisruption.plus(CALM_AFTER_DISRUPTION)) >= 0) {
                check.check(session, workers.values(), jobs, now, STEP);
            }
        }
        return check;
    }

    private FakeWorker addWorker(String name, String address) {
        FakeWorker worker = session.addWorker(name, address, MILLI_CORES);
        worker.setReportedPercents(task -> percent(worker, task));
        worker.setCrashesAtOnce(plan.crashesAtOnce());
        worker.setDeadlyTasks(task -> job(task).behaviour() == DrawnJob.Behaviour.CRASHES_WORKERS);
        worker.setMeasurements(task -> measurement(worker, task));
        workers.put(name, worker);
        return worker;
    }

    private DrawnJob job(TaskRef task) {
        return jobs.get(Integer.parseInt(task.job().value(), 16));
    }

    private double percent(FakeWorker worker, TaskRef task) {
        double done = progress.getOrDefault(worker, Map.of()).getOrDefault(task, 0.0);
        return job(task).step(task).lasting()
                ? 100
                : Math.min(99, 100 * done / job(task).work().toMillis());
    }

    private double measurement(FakeWorker worker, TaskRef task) {
        if (!job(task).step(task).latencyCritical()) {
            return 1;
        }
        double swing = loadSwing * Math.sin(now.toMillis() / 3_000.0);
        double headroom = plan.baseline(job(task).step(task).imageName()) + swing;
        for (TaskRef other : worker.running()) {
            if (job(other).step(other).fills()) {
                double share = (double) job(other).step(other).demand().milliCores() / MILLI_CORES;
                headroom -= share * plan.cost(job(other).step(other).imageName()) * worker.speed(other) / 100;
            }
        }
        return job(task).step(task).targetMillis() / Math.max(0.2, headroom);
    }

    private void at(Duration time, Runnable action) {
        actions.computeIfAbsent(time, key -> new ArrayList<>()).add(action);
    }

    private void atMillis(long millis, Runnable action) {
        at(Duration.ofMillis(millis), action);
    }

    private void advance() {
        session.advance(STEP);
        now = now.plus(STEP);
        while (!actions.isEmpty() && actions.firstKey().compareTo(now) <= 0) {
            actions.pollFirstEntry().getValue().forEach(Runnable::run);
        }
        List.copyOf(workers.values()).forEach(this::bringBackIfDue);
        workers.values().forEach(this::work);
        jobs.forEach(DrawnJob::noteAcknowledgedEnds);
    }

    private void work(FakeWorker worker) {
        Map<TaskRef, Double> done = progress.computeIfAbsent(worker, key -> new HashMap<>());
        done.keySet().retainAll(worker.running());
        for (TaskRef task : worker.running()) {
            DrawnJob job = job(task);
            if (job.step(task).lasting()) {
                continue;
            }
            double sum = done.merge(task, STEP.toMillis() * worker.speed(task) / 100.0, Double::sum);
            if (sum >= job.work().toMillis()) {
                job.endRun(task, worker, random.nextInt(4) == 0);
            }
        }
    }

    private void bringBackIfDue(FakeWorker worker) {
        if (!worker.crashed()) {
            return;
        }
        if (!crashedFor.containsKey(worker)) {
            disturbJobsOf(worker);
        }
        Duration down = crashedFor.merge(worker, STEP, Duration::plus);
        if (down.compareTo(DOWN_TIME) < 0 || lostForGood.contains(worker)) {
            return;
        }
        crashedFor.remove(worker);
        if (sameId) {
            worker.restart();
            return;
        }
        session.removeWorker(worker.name());
        workers.remove(worker.name());
        FakeWorker next = addWorker(worker.name() + "'", worker.address());
        next.setRack(worker.entry().labels().contains("special") ? "special" : "r0");
        next.setDataCentre(worker.entry().dataCentre());
    }

    private void disturbJobsOf(FakeWorker worker) {
        jobs.forEach(job -> job.forgetEndsOn(worker));
        jobs.forEach(job -> job.disturbUntil(now.plus(CALM_AFTER_DISRUPTION)));
        progress.remove(worker);
    }

    private void scheduleJobs() {
        for (int i = 0; i < jobs.size(); i++) {
            DrawnJob job = jobs.get(i);
            at(plan.submissionTime(i), () -> {
                if (hostUp("h1") || hostUp("h2")) {
                    job.setSubmitAnswers(session.call(
                            hostUp("h1") ? "h1" : "h2", new CallerOperation.Submit(job.spec()), job.path()));
                }
            });
        }
    }

    private Duration scheduleDisruptions() {
        int count = random.nextInt(6);
        long last = 4_000;
        for (int i = 0; i < count; i++) {
            long start = 4_000 + random.nextInt(10_000);
            long length = 300 + random.nextInt(6_000);
            disrupt(Disruption.values()[random.nextInt(Disruption.values().length)], start, start + length);
            last = Math.max(last, start + length);
        }
        if (random.nextInt(4) == 0) {
            disrupt(Disruption.ALL_HOSTS_KILLED, last, last + 2_000);
            last += 2_000;
        }
        return Duration.ofMillis(closing == null ? last : scheduleClosing(last));
    }

    /** Schedules the closing after the other disruptions and returns its end. */
    private long scheduleClosing(long last) {
        long start = last + 1_000 + closing.nextInt(1_000);
        long end = start + 1_000 + closing.nextInt(3_001);
        int groups = 1 + closing.nextInt(3);
        for (int i = 0; i < groups; i++) {
            long earlier = start - (closing.nextInt(3) == 0 ? 0 : closing.nextInt(1_000));
            switch (closing.nextInt(4)) {
                case 0 -> disrupt(Disruption.WORKERS_LOST, earlier, earlier);
                case 1 -> disrupt(Disruption.WORKERS_CRASH, earlier, earlier);
                case 2 -> disrupt(Disruption.WORKERS_SILENT, earlier, start + closing.nextLong(end - start));
                default -> reclaimWorkers(earlier, start + closing.nextInt(500));
            }
        }
        disrupt(Disruption.ALL_HOSTS_KILLED, start, end);
        return end;
    }

    /** Announces the end of some workers, which then are lost for good. */
    private void reclaimWorkers(long announced, long lost) {
        List<FakeWorker> chosen = new ArrayList<>();
        atMillis(announced, () -> {
            chosen.addAll(drawnWorkers(3));
            chosen.forEach(worker -> worker.setDraining(true));
        });
        atMillis(lost, () -> chosen.forEach(this::loseForGood));
    }

    private void loseForGood(FakeWorker worker) {
        lostForGood.add(worker);
        worker.crash();
        worker.setListed(false);
    }

    private void disrupt(Disruption kind, long start, long end) {
        switch (kind) {
            case HOST_KILLED -> {
                String host = random.nextBoolean() ? "h1" : "h2";
                atMillis(start, () -> killHosts(List.of(host)));
                atMillis(end, () -> addHostIfMissing(host));
            }
            case ALL_HOSTS_KILLED -> {
                atMillis(start, () -> killHosts(List.of("h1", "h2")));
                atMillis(end, () -> {
                    addHostIfMissing("h1");
                    addHostIfMissing("h2");
                });
            }
            case STORE_RESETS -> {
                atMillis(start, () -> session.setStoreConnectionsReset(true));
                atMillis(end, () -> session.setStoreConnectionsReset(false));
            }
            case STORE_OUTAGE -> {
                atMillis(start, () -> session.store().setUnavailable(true));
                atMillis(end, () -> session.store().setUnavailable(false));
            }
            case WORKERS_CRASH -> atMillis(end, () -> drawnWorkers(2).forEach(FakeWorker::crash));
            case WORKERS_LOST -> atMillis(end, () -> drawnWorkers(3).forEach(this::loseForGood));
            case WORKERS_SILENT -> overWorkers(start, end, FakeWorker::setUnresponsive);
            case STARTS_LOST -> overWorkers(start, end, FakeWorker::setStartsLost);
            case LATE_ORDERS -> overWorkers(start, end, (worker, on) -> worker.setStartDelayMillis(on ? 1_500 : 0));
            case ENTRIES_MISSING -> overWorkers(start, end, (worker, on) -> worker.setListed(!on));
            case DRAINING -> atMillis(end, () -> drawnWorkers(2).forEach(worker -> worker.setDraining(true)));
            case EVACUATION -> {
                atMillis(start, () -> EvacuationRequests.evacuate(session, "b"));
                atMillis(end, () -> EvacuationRequests.withdraw(session, "b"));
            }
            case CANCELS ->
                atMillis(end, () -> {
                    addWorker("w" + addedWorkers, "w" + addedWorkers + ":1");
                    addedWorkers++;
                    cancelSomeJobs();
                });
            default -> throw new IllegalArgumentException(kind.name());
        }
    }

    private void killHosts(List<String> hosts) {
        for (String host : hosts) {
            if (hostUp(host)) {
                session.killHost(host);
                hostsDown.add(host);
            }
        }
    }

    private boolean hostUp(String host) {
        return !hostsDown.contains(host);
    }

    private void addHostIfMissing(String host) {
        if (!hostUp(host)) {
            hostsDown.remove(host);
            session.addHost(host);
        }
    }

    private void cancelSomeJobs() {
        for (DrawnJob job : jobs) {
            if (hostUp("h1") && random.nextInt(4) == 0) {
                job.markCancelled();
                session.call("h1", new CallerOperation.Cancel(), job.path());
            }
        }
    }

    private void overWorkers(long start, long end, BiConsumer<FakeWorker, Boolean> setting) {
        boolean all = random.nextInt(3) == 0;
        List<FakeWorker> chosen = new ArrayList<>();
        atMillis(start, () -> {
            chosen.addAll(all ? workers.values() : drawnWorkers(3));
            chosen.forEach(worker -> setting.accept(worker, true));
        });
        atMillis(end, () -> chosen.forEach(worker -> setting.accept(worker, lostForGood.contains(worker))));
    }

    private List<FakeWorker> drawnWorkers(int max) {
        List<FakeWorker> all = new ArrayList<>(
                workers.values().stream().filter(worker -> !worker.crashed()).toList());
        List<FakeWorker> drawn = new ArrayList<>();
        int count = 1 + random.nextInt(max);
        for (int i = 0; i < count && !all.isEmpty(); i++) {
            drawn.add(all.remove(random.nextInt(all.size())));
        }
        return drawn;
    }
}
