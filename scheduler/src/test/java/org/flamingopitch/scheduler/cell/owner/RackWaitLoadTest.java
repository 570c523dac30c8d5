package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.flamingopitch.scheduler.cell.admission.ServiceShares;
import org.flamingopitch.scheduler.cell.locality.PlacementDecision;
import org.flamingopitch.scheduler.cell.locality.PlacementWait;
import org.flamingopitch.scheduler.cell.locality.WaitRule;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueName;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What callers of an urgent queue get if 60 % of its jobs prefer one of 20 racks, and in bursts more of their tasks than
 * the rack holds. Compares the {@link PlacementWait} with never waiting, with a fixed wait of three seconds, and with a
 * placement in which tasks without a preference take the workers of the preferred rack.
 */
final class RackWaitLoadTest {

    private static final Duration TICK = Duration.ofMillis(25);

    private static final Duration LOAD_TIME = Duration.ofSeconds(40);

    private static final Duration BURST_INTERVAL = Duration.ofSeconds(8);

    private static final Duration BURST_LENGTH = Duration.ofSeconds(2);

    private static final int RACKS = 20;

    private static final int WORKERS_PER_RACK = 12;

    private static final long WORKER_MILLICORES = 4_000;

    private static final int TASKS_PER_JOB = 10;

    private static final long TASK_MILLIS = 800;

    private static final double PREFERRING_SHARE = 0.6;

    private static final String HOT_RACK = "r0";

    private static final Duration FIXED_WAIT = Duration.ofSeconds(3);

    /** Objective: 1.5 times the critical path plus 0.6 s. */
    private static final QueueSpec QUEUE = new QueueSpec(
            new QueueName("urgent"), "callers.example", "/u/", new ServiceName("pool"), 0, 3, 1.5, 600, 3_000, false);

    private static final WaitRule NEVER = (situation, now) -> new PlacementDecision.PlaceFar();

    private static final WaitRule FIXED = (situation, now) -> situation.waited().compareTo(FIXED_WAIT) < 0
            ? new PlacementDecision.WaitForRack(now.plus(FIXED_WAIT.minus(situation.waited())))
            : new PlacementDecision.PlaceFar();

    private final Logger plannerLogger = Logger.getLogger(RackWaitPlanner.class.getName());

    /** The load makes thousands of decision lines, which would hide other output. */
    @BeforeEach
    void limitLogging() {
        plannerLogger.setLevel(Level.WARNING);
    }

    @AfterEach
    void restoreLogging() {
        plannerLogger.setLevel(null);
    }

    @ParameterizedTest
    @CsvSource({"1.5,101", "1.5,102", "1.5,103", "3,101", "3,102", "3,103"})
    void callersGetMoreThanWithoutAWaitAndThanWithAFixedWait(double farFactor, long seed) {
        Outcome before = new Play(farFactor, NEVER, false, seed).run();
        Outcome never = new Play(farFactor, NEVER, true, seed).run();
        Outcome fixed = new Play(farFactor, FIXED, true, seed).run();
        Outcome rule = new Play(farFactor, new PlacementWait(), true, seed).run();
        String outcomes = String.format("before: %s%nnever: %s%nfixed: %s%nrule: %s", before, never, fixed, rule);
        for (Outcome other : List.of(before, never, fixed)) {
            assertThat(other.jobs()).isEqualTo(rule.jobs());
            assertThat(rule.inTimeShare()).as(outcomes).isGreaterThanOrEqualTo(other.inTimeShare());
            assertThat(rule.meanMillis()).as(outcomes).isLessThan(other.meanMillis());
        }
    }

    private record Outcome(int jobs, double inTimeShare, double meanMillis, long p95Millis, double nearShare) {}

    /** One simulated load on a cell; the same seed gives the same jobs and durations. */
    private static final class Play {

        private final double farFactor;

        /** Whether other tasks keep the workers of preferred racks free. */
        private final boolean keepsRacksFree;

        private final SplittableRandom random;

        private final DurationEstimates estimates = new DurationEstimates();

        private final AverageJobWork averageWork = new AverageJobWork();

        private final JobQueueOrder order = new JobQueueOrder(estimates, averageWork, new ServiceShares());

        private final PlacementPolicy policy = new PlacementPolicy(new WorkerHealth(), new InterferenceEstimator());

        private final RackWaitPlanner rackWaits;

        private final List<WorkerState> workers = new ArrayList<>();

        private final List<Job> open = new ArrayList<>();

        private final List<Long> jobMillis = new ArrayList<>();

        private int inTime;

        private int preferring;

        private int near;

        private int submitted;

        private Play(double farFactor, WaitRule rule, boolean keepsRacksFree, long seed) {
            this.farFactor = farFactor;
            this.keepsRacksFree = keepsRacksFree;
            this.random = new SplittableRandom(seed);
            this.rackWaits = new RackWaitPlanner(farFactor, estimates, rule, (outcome, waited) -> {});
            for (int rack = 0; rack < RACKS; rack++) {
                for (int i = 0; i < WORKERS_PER_RACK; i++) {
                    workers.add(OwnerFixtures.worker("w" + rack + "-" + i, WORKER_MILLICORES, "r" + rack));
                }
            }
        }

        private Outcome run() {
            Instant loadEnd = OwnerFixtures.NOW.plus(LOAD_TIME);
            for (Instant now = OwnerFixtures.NOW; now.isBefore(loadEnd) || !open.isEmpty(); now = now.plus(TICK)) {
                if (now.isBefore(loadEnd)) {
                    submit(now);
                }
                endRuns(now);
                place(now);
            }
            List<Long> sorted = jobMillis.stream().sorted().toList();
            return new Outcome(
                    submitted,
                    (double) inTime / submitted,
                    sorted.stream().mapToLong(millis -> millis).average().orElse(0),
                    sorted.get((int) (sorted.size() * 0.95)),
                    (double) near / preferring);
        }

        /** Submits 7 jobs a second on average, and 18 in bursts; the rack can run 6 a second. */
        private void submit(Instant now) {
            long sinceBurst = Duration.between(OwnerFixtures.NOW, now).toMillis() % BURST_INTERVAL.toMillis();
            double perSecond = sinceBurst < BURST_LENGTH.toMillis() ? 18 : 7;
            if (random.nextDouble() >= perSecond * TICK.toMillis() / 1_000) {
                return;
            }
            String rack = random.nextDouble() < PREFERRING_SHARE ? HOT_RACK : null;
            StepSpec step = OwnerFixtures.rackStep(TASKS_PER_JOB, 1_000, TASK_MILLIS, rack, false);
            JobSpec spec = new JobSpec("work", List.of(step), 0, 0, 0);
            Job job = new Job(new JobId("j" + submitted), QUEUE, spec, now, now.toEpochMilli());
            averageWork.add(QUEUE.name(), spec);
            open.add(job);
            submitted++;
        }

        private void endRuns(Instant now) {
            for (WorkerState worker : workers) {
                for (Run run : List.copyOf(worker.runs())) {
                    Duration duration = Duration.ofMillis((long) (baseMillis(run.task()) * slowdown(run)));
                    if (!now.isBefore(run.placedAt().plus(duration))) {
                        end(run, now);
                    }
                }
            }
            open.removeIf(Job::allDone);
        }

        /** Returns a duration from 0.75 to 1.25 times the estimate that depends on the task only. */
        private static double baseMillis(Task task) {
            return TASK_MILLIS * (0.75 + 0.5 * new SplittableRandom(task.ref().hashCode()).nextDouble());
        }

        private double slowdown(Run run) {
            String rack = run.task().step().spec().preferredRack();
            return rack == null || run.worker().entry().labels().contains(rack) ? 1 : farFactor;
        }

        private void end(Run run, Instant now) {
            Task task = run.task();
            Job job = task.job();
            run.release(now);
            task.markDone();
            task.step().incrementDoneCount();
            long millis = (long) (Duration.between(run.placedAt(), now).toMillis() / rackWaits.distanceFactor(run));
            estimates.recordRun(QUEUE.name(), task.step().spec().estimateMillis(), millis);
            if (task.step().spec().preferredRack() != null) {
                preferring++;
                near += slowdown(run) == 1 ? 1 : 0;
            }
            if (job.allDone()) {
                jobMillis.add(Duration.between(job.submittedAt(), now).toMillis());
                inTime += now.isAfter(job.objective()) ? 0 : 1;
            }
        }

        /** Places the waiting tasks in the same way as {@link TaskPlacer}. */
        private void place(Instant now) {
            Set<String> preferredRacks = keepsRacksFree ? rackWaits.preferredRacks(open) : Set.of();
            PlacementPass pass = policy.startPass(workers, worker -> true, preferredRacks, now);
            rackWaits.startPass(pass, worker -> true, now);
            List<Job> waiting = open.stream()
                    .filter(job -> job.step(0, 0).waitingCount(now) > 0)
                    .toList();
            for (Job job : order.sort(waiting, now)) {
                Step step = job.step(0, 0);
                placeStep(pass, step, now);
            }
        }

        private void placeStep(PlacementPass pass, Step step, Instant now) {
            List<Task> tasks =
                    step.tasks().stream().filter(task -> task.waiting(now)).toList();
            RackWaitPlanner.StepPlan plan = rackWaits.plan(step);
            if (plan.keepsAllWaiting(tasks)) {
                return;
            }
            PlacementPass.Search search = pass.search(step);
            for (Task task : tasks) {
                PlacementCandidate candidate = search.findBest(task);
                if (candidate == null) {
                    return;
                }
                if (!plan.leavesWaiting(task, candidate)) {
                    candidate.worker().add(task.place(candidate.worker(), now));
                    rackWaits.onPlaced(task, candidate);
                    task.job().markStarted();
                    search.onPlaced(candidate);
                }
            }
        }
    }
}
