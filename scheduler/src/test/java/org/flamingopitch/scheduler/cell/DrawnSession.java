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

    private final DrawnProgress progress;

    private final SecondRunCheck secondRunCheck = new SecondRunCheck();

    private final Set<FakeWorker> lostForGood = new HashSet<>();

    private final DrawnHosts hosts;

    /** Whether workers come back under the name that they had. */
    private final boolean sameId;

    private final DrawnInterference interference;

    /** Decides the closing; null if the session has none. Apart from {@link #random}, so that the seeds keep their meaning. */
    private final SplittableRandom closing;

    /** Decides what the platform's list of workers shows; null if the session has no list. */
    private final DrawnListing listing;

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
        this(seed, null, null);
    }

    private DrawnSession(long seed, SplittableRandom closing, DrawnListing listing) {
        this.closing = closing;
        this.listing = listing;
        random = new SplittableRandom(seed);
        session = new CellSession(seed);
        hosts = new DrawnHosts(session);
        plan = new DrawnPlan(random);
        sameId = random.nextInt(3) == 0;
        jobs = plan.jobs();
        interference = new DrawnInterference(plan, random.nextInt(2) == 0 ? 0 : 0.4);
        progress = new DrawnProgress(jobs, random);
    }

    /**
     * Creates a session whose last disruption is a closing: all hosts lose power for 1 to 4 s, and up to three groups of
     * workers are lost, silent, reborn or reclaimed at the same moment or in the second before.
     */
    static DrawnSession withClosing(long seed) {
        return new DrawnSession(seed, new SplittableRandom(~seed), null);
    }

    /** Creates a session in which the platform lists its workers, and replaces some all the time. */
    static DrawnSession withListing(long seed) {
        return new DrawnSession(seed, null, new DrawnListing(seed));
    }

    /** Creates a session with a listing whose last disruption is a closing. */
    static DrawnSession withListingAndClosing(long seed) {
        return new DrawnSession(seed, new SplittableRandom(~seed), new DrawnListing(seed));
    }

    /** Plays the session and returns the check that judged its quiet phase. */
    IdleJobCheck play() {
        session.store().setLeasesExpire(true);
        int workerCount = 6 + random.nextInt(7);
        int labelled = 2 + random.nextInt(3);
        for (int i = 0; i < workerCount; i++) {
            FakeWorker worker = addNextWorker();
            worker.setRack(i < labelled ? "special" : "r" + i % 2);
            worker.setDataCentre(i % 3 == 2 ? "b" : "a");
        }
        plan.drawJobs(workerCount);
        session.store().write("flamingopitch/learned", plan.learnedRecord());
        session.configure(plan.configuration());
        session.addHost("h1");
        session.addHost("h2");
        session.advance(Duration.ofSeconds(3));
        scheduleJobs();
        Duration lastDisruption = scheduleDisruptions();
        if (listing != null) {
            listing.schedule(this, session, lastDisruption);
        }
        Duration end = lastDisruption.plus(QUIET_TIME);
        while (now.compareTo(end) < 0) {
            advance();
            secondRunCheck.check(workers.values(), jobs, now);
            if (now.compareTo(lastDisruption.plus(CALM_AFTER_DISRUPTION)) >= 0) {
                check.check(session, workers.values(), jobs, now, STEP);
            }
        }
        return check;
    }

    List<String> secondRuns() {
        return secondRunCheck.violations();
    }

    private FakeWorker addWorker(String name, String address) {
        FakeWorker worker = session.addWorker(name, address, MILLI_CORES);
        worker.setReportedPercents(task -> progress.percent(worker, task));
        worker.setCrashesAtOnce(plan.crashesAtOnce());
        worker.setDeadlyTasks(task -> job(task).behaviour() == DrawnJob.Behaviour.CRASHES_WORKERS);
        worker.setMeasurements(task -> interference.measurement(worker, task, now));
        workers.put(name, worker);
        return worker;
    }

    private DrawnJob job(TaskRef task) {
        return jobs.get(Integer.parseInt(task.job().value(), 16));
    }

    DrawnHosts hosts() {
        return hosts;
    }

    void at(Duration time, Runnable action) {
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
        workers.values().forEach(worker -> progress.work(worker, STEP));
        jobs.forEach(DrawnJob::noteAcknowledgedEnds);
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
        } else {
            replace(worker);
        }
    }

    /** Replaces a worker by one with a new id at its address. */
    private void replace(FakeWorker worker) {
        session.removeWorker(worker.name());
        workers.remove(worker.name());
        FakeWorker next = addWorker(worker.name() + "'", worker.address());
        next.setRack(worker.entry().labels().contains("special") ? "special" : "r0");
        next.setDataCentre(worker.entry().dataCentre());
    }

    private void disturbJobsOf(FakeWorker worker) {
        jobs.forEach(job -> job.forgetEndsOn(worker));
        jobs.forEach(job -> job.disturbUntil(now.plus(CALM_AFTER_DISRUPTION)));
        progress.forget(worker);
    }

    /** Replaces a worker that runs, either by one with a new id at its address or for good by one elsewhere. */
    void replaceRunning(int index, boolean sameAddress) {
        FakeWorker worker = List.copyOf(workers.values()).get(index % workers.size());
        if (worker.crashed()) {
            return;
        }
        if (sameAddress) {
            disturbJobsOf(worker);
            replace(worker);
        } else {
            loseForGood(worker);
            addNextWorker();
        }
    }

    FakeWorker addNextWorker() {
        String name = "w" + addedWorkers;
        addedWorkers++;
        return addWorker(name, name + ":1");
    }

    private void scheduleJobs() {
        for (int i = 0; i < jobs.size(); i++) {
            DrawnJob job = jobs.get(i);
            at(plan.submissionTime(i), () -> {
                if (hosts.up("h1") || hosts.up("h2")) {
                    job.setSubmitAnswers(session.call(
                            hosts.up("h1") ? "h1" : "h2", new CallerOperation.Submit(job.spec()), job.path()));
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
                atMillis(start, () -> hosts.kill(List.of(host)));
                atMillis(end, () -> hosts.addIfMissing(host));
            }
            case ALL_HOSTS_KILLED -> {
                atMillis(start, () -> hosts.kill(List.of("h1", "h2")));
                atMillis(end, () -> {
                    hosts.addIfMissing("h1");
                    hosts.addIfMissing("h2");
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
                    addNextWorker();
                    cancelSomeJobs();
                });
            default -> throw new IllegalArgumentException(kind.name());
        }
    }

    private void cancelSomeJobs() {
        for (DrawnJob job : jobs) {
            if (hosts.up("h1") && random.nextInt(4) == 0) {
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
