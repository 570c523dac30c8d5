package org.flamingopitch.scheduler.cell.owner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.flamingopitch.scheduler.cell.admission.AdmissionDecision;
import org.flamingopitch.scheduler.cell.admission.QueueCapacity;
import org.flamingopitch.scheduler.cell.admission.ServiceShares;
import org.flamingopitch.scheduler.cell.admission.SizeClass;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.cell.model.WorkerEntry;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * Plays an urgent queue and a best-effort queue that compete, in proportion to a deployment of 246 workers of 32 cores
 * whose long-running tasks reserve 80 % of the processors. Each queue has two bursts. Best-effort tasks also use the
 * processor time that long-running tasks reserve and leave idle, and are throttled for their sake, so that no processor
 * looks idle and little best-effort work completes. Other tasks run at full speed.
 */
final class CompetingQueuesSimulation {

    private static final int WORKER_COUNT = 24;

    private static final double SCALE = WORKER_COUNT / 246.0;

    private static final Duration TICK = Duration.ofMillis(50);

    private static final int TICKS_PER_SECOND = 20;

    private static final int SIMULATED_SECONDS = 60;

    /** The processor time of a worker that long-running tasks reserve and leave idle. */
    private static final long IDLE_RESERVED_MILLICORES = 12_800;

    private static final double BEST_EFFORT_SPEED = 0.25;

    private static final double URGENT_JOBS_PER_SECOND = 9.6 * SCALE;

    private static final double BEST_EFFORT_JOBS_PER_SECOND = 10.7 * SCALE;

    /** Seconds during which a queue is submitted at a multiple of its usual rate. */
    private static final int[][] URGENT_BURSTS = {{16, 20}, {40, 44}};

    private static final int[][] BEST_EFFORT_BURSTS = {{28, 32}, {48, 52}};

    private static final QueueSpec URGENT = queue("urgent", 0, 1.5, 600);

    private static final QueueSpec BEST_EFFORT = queue("batch", 2, 4, 4_000);

    private final DurationEstimates estimates = new DurationEstimates();

    private final AverageJobWork averageWork = new AverageJobWork();

    private final ServiceShares shares = new ServiceShares();

    private final JobShares jobShares = new JobShares(shares, averageWork);

    private final JobQueueOrder order;

    private final List<WorkerState> workers = new ArrayList<>();

    private final List<Job> jobs = new ArrayList<>();

    private final SplittableRandom random = new SplittableRandom(7);

    private final CompletionRate bestEffortRate = new CompletionRate(OwnerFixtures.NOW);

    private final CompletionRate totalRate = new CompletionRate(OwnerFixtures.NOW);

    private final double burstFactor;

    /** Whether capacity is estimated as the rate of completion of all queues plus idle processors. */
    private final boolean formerCapacity;

    private final boolean withShares;

    CompetingQueuesSimulation(double burstFactor, boolean formerCapacity, boolean withShares) {
        this.burstFactor = burstFactor;
        this.formerCapacity = formerCapacity;
        this.withShares = withShares;
        this.order = new JobQueueOrder(estimates, averageWork, withShares ? shares : new ServiceShares());
        Job service = new Job(
                new JobId("service"),
                URGENT,
                new JobSpec("work", List.of(step(4 * WORKER_COUNT, 6_400, 13_000, 0, true, false)), 0, 0, 0),
                OwnerFixtures.NOW,
                0);
        for (int i = 0; i < WORKER_COUNT; i++) {
            WorkerState worker = worker("w" + i);
            workers.add(worker);
            for (int j = 0; j < 4; j++) {
                worker.add(service.step(0, 0).tasks().get(4 * i + j).place(worker, OwnerFixtures.NOW));
            }
        }
    }

    private static QueueSpec queue(String name, int priority, double stretch, long targetMillis) {
        return new QueueSpec(
                new QueueName(name),
                "callers.example",
                "/" + name + "/",
                new ServiceName("pool"),
                priority,
                3,
                stretch,
                targetMillis,
                3_000,
                false);
    }

    private static WorkerState worker(String name) {
        WorkerState worker = new WorkerState(new WorkerId(name), OwnerFixtures.NOW);
        WorkerEntry entry = OwnerFixtures.worker(name, 32_000).entry();
        worker.register(
                new WorkerEntry(
                        worker.id(),
                        1,
                        entry.address(),
                        entry.service(),
                        entry.dataCentre(),
                        false,
                        0,
                        0,
                        new Resources(32_000, 125_000, 0),
                        entry.labels()),
                OwnerFixtures.NOW);
        return worker;
    }

    private static StepSpec step(
            int count, long milliCores, long memory, long estimateMillis, boolean longRunning, boolean bestEffort) {
        return new StepSpecBuilder()
                .count(count)
                .demand(new Resources(milliCores, memory, 0))
                .estimateMillis(estimateMillis)
                .checkpointing(bestEffort)
                .lasting(longRunning)
                .fills(bestEffort)
                .build();
    }

    /** Plays the load and returns what callers got. */
    Statistics simulate() {
        Statistics statistics = new Statistics();
        for (int tick = 0; tick < SIMULATED_SECONDS * TICKS_PER_SECOND; tick++) {
            Instant now = OwnerFixtures.NOW.plus(TICK.multipliedBy(tick));
            int second = tick / TICKS_PER_SECOND;
            submit(URGENT, URGENT_JOBS_PER_SECOND * factor(URGENT_BURSTS, second), now, statistics);
            submit(BEST_EFFORT, BEST_EFFORT_JOBS_PER_SECOND * factor(BEST_EFFORT_BURSTS, second), now, statistics);
            advanceRuns(now, statistics);
            place(now);
            jobs.forEach(job -> jobShares.countIfDecided(job, now));
        }
        return statistics;
    }

    private double factor(int[][] bursts, int second) {
        for (int[] burst : bursts) {
            if (second >= burst[0] && second < burst[1]) {
                return burstFactor;
            }
        }
        return 1;
    }

    private void submit(QueueSpec queue, double jobsPerSecond, Instant now, Statistics statistics) {
        if (random.nextDouble() >= jobsPerSecond / TICKS_PER_SECOND) {
            return;
        }
        boolean urgent = queue == URGENT;
        // One job in ten is three times as large as the others.
        int size = random.nextInt(10) == 0 ? 3 : 1;
        StepSpec first = urgent
                ? step(8 * size, 3_900, 7_800, 800, false, false)
                : step(16 * size, 3_500, 6_400, 2_200, false, true);
        JobSpec spec = new JobSpec("work", List.of(first), 0, 0, 0);
        JobId id = new JobId("j" + now.toEpochMilli() + queue.name());
        SizeClass sizeClass = jobShares.classify(id, queue.name(), spec);
        AdmissionDecision decision = AdmissionControl.decide(
                id,
                spec,
                queue,
                jobs,
                capacity(queue, spec, now),
                WORKER_COUNT * 32_000L,
                jobShares.share(queue.name(), sizeClass),
                withShares ? jobShares.boost(queue.name(), sizeClass) : 1,
                estimates,
                now);
        Outcomes outcomes = statistics.of(queue, size > 1);
        outcomes.submitted++;
        if (!decision.admitted()) {
            outcomes.rejected++;
            jobShares.onRejected(id, queue.name(), spec, sizeClass, now);
            return;
        }
        Job job = new Job(id, queue, spec, now, now.toEpochMilli());
        averageWork.add(queue.name(), spec);
        jobShares.onAdmitted(job, sizeClass);
        jobs.add(job);
    }

    private long capacity(QueueSpec queue, JobSpec spec, Instant now) {
        if (!formerCapacity) {
            return QueueCapacity.isBestEffort(spec)
                    ? CellLoad.bestEffortCapacity(workers, bestEffortRate, now)
                    : CellLoad.unreservedCapacity(workers, queue, spec);
        }
        long idle = 0;
        long running = 0;
        for (WorkerState worker : workers) {
            idle += Math.max(0, worker.free().milliCores() - worker.bestEffortMilliCores());
            for (Run run : worker.runs()) {
                StepSpec runSpec = run.task().step().spec();
                running += runSpec.lasting() ? 0 : runSpec.demand().milliCores() * run.throttledToPercent() / 100;
            }
        }
        return totalRate.workPerMillisecond(running, now) + idle;
    }

    private void advanceRuns(Instant now, Statistics statistics) {
        for (WorkerState worker : workers) {
            for (Run run : List.copyOf(worker.runs())) {
                StepSpec spec = run.task().step().spec();
                if (spec.lasting()) {
                    continue;
                }
                double speed = spec.fills() ? BEST_EFFORT_SPEED : 1;
                run.observe(run.progressPercent() + 100 * speed * TICK.toMillis() / spec.estimateMillis(), -1, now);
                if (run.progressPercent() >= 100) {
                    complete(run, now, statistics);
                }
            }
        }
    }

    private void complete(Run run, Instant now, Statistics statistics) {
        Job job = run.task().job();
        StepSpec spec = run.task().step().spec();
        long work = spec.demand().milliCores()
                * estimates.expectedMillis(job.queue().name(), spec.estimateMillis());
        totalRate.add(work, now);
        if (spec.fills()) {
            bestEffortRate.add(work, now);
        }
        estimates.recordRun(
                job.queue().name(),
                spec.estimateMillis(),
                Duration.between(run.placedAt(), now).toMillis());
        run.release(now);
        run.task().markDone();
        run.task().step().incrementDoneCount();
        if (job.allDone()) {
            job.end(JobState.DONE, now);
            jobShares.countIfDecided(job, now);
            jobs.remove(job);
            boolean large = job.step(0, 0).tasks().size() > 16 || job.queue() == URGENT && spec.count() > 8;
            statistics.of(job.queue(), large).inTime += now.isAfter(job.objective()) ? 0 : 1;
        }
    }

    private void place(Instant now) {
        for (Job job : order.sort(jobs, now)) {
            for (Task task : job.step(0, 0).tasks()) {
                WorkerState worker = task.waiting(now) ? findWorker(task.step().spec()) : null;
                if (worker != null) {
                    start(task.place(worker, now), now);
                }
            }
        }
    }

    private static void start(Run run, Instant now) {
        run.worker().add(run);
        run.enterPhase(RunPhase.RUNNING, now);
        if (run.task().step().spec().fills()) {
            run.setThrottledToPercent((int) (100 * BEST_EFFORT_SPEED), now);
        }
        run.task().job().markStarted();
    }

    private WorkerState findWorker(StepSpec spec) {
        WorkerState best = null;
        long bestUnused = Long.MIN_VALUE;
        for (WorkerState worker : workers) {
            long unused = worker.free().milliCores() - worker.bestEffortMilliCores();
            boolean fits = spec.reserved().fitsInto(worker.free())
                    && (!spec.fills()
                            || unused + IDLE_RESERVED_MILLICORES
                                    >= spec.demand().milliCores());
            if (fits && unused > bestUnused) {
                best = worker;
                bestUnused = unused;
            }
        }
        return best;
    }

    private static final class Outcomes {

        private int submitted;

        private int rejected;

        private int inTime;

        @Override
        public String toString() {
            return submitted + " submitted " + rejected + " rejected " + inTime + " in time";
        }
    }

    /** What the callers of each queue and size class got. */
    static final class Statistics {

        private final Outcomes urgentSmall = new Outcomes();

        private final Outcomes urgentLarge = new Outcomes();

        private final Outcomes bestEffortSmall = new Outcomes();

        private final Outcomes bestEffortLarge = new Outcomes();

        private Outcomes of(QueueSpec queue, boolean large) {
            if (queue == URGENT) {
                return large ? urgentLarge : urgentSmall;
            }
            return large ? bestEffortLarge : bestEffortSmall;
        }

        int urgentInTime() {
            return urgentSmall.inTime + urgentLarge.inTime;
        }

        int bestEffortInTime() {
            return bestEffortSmall.inTime + bestEffortLarge.inTime;
        }

        double urgentLargeShare() {
            return (double) urgentLarge.inTime / urgentLarge.submitted;
        }

        double bestEffortLargeShare() {
            return (double) bestEffortLarge.inTime / bestEffortLarge.submitted;
        }

        @Override
        public String toString() {
            return "urgent small: " + urgentSmall + "; large: " + urgentLarge + "; batch small: " + bestEffortSmall
                    + "; large: " + bestEffortLarge;
        }
    }
}
