package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.Test;

/**
 * Plays an urgent queue of which 3 % of the runs take 7 times as long, and compares what callers get with and without
 * copies: the share of jobs that are done within 1.5 times the critical path plus 600 ms. Guards against copies that
 * come too late to be of use, and against copies that take the capacity of other tasks.
 */
final class SpeculationUnderLoadTest {

    private static final int WORKERS = 6;

    private static final long WORKER_MILLICORES = 32_000;

    private static final double STRAGGLER_SHARE = 0.03;

    private static final int STRAGGLER_FACTOR = 7;

    private static final int PLAY_MILLIS = 25_000;

    /** Jobs of the first seconds are not counted: the distribution of durations is learned from them. */
    private static final int LEARNING_MILLIS = 6_000;

    private static final int TICK_MILLIS = 10;

    private record Submitted(String id, long atMillis, long criticalPathMillis) {}

    private record Result(double inTime, int jobs, int copies, int tasks) {}

    /** Draws the duration of each run: it depends on the run and not on the task whether it is a straggler. */
    private static long duration(TaskRef task, int run, long seed, Map<String, Long> usualMillis) {
        SplittableRandom random = new SplittableRandom(seed * 31 + (task + "/" + run).hashCode());
        double usual = usualMillis.get(task.job().value()) * (0.9 + 0.2 * random.nextDouble());
        return (long) (random.nextDouble() < STRAGGLER_SHARE ? STRAGGLER_FACTOR * usual : usual);
    }

    private static StepSpec step(int count, long estimateMillis, boolean speculative) {
        return new StepSpecBuilder()
                .count(count)
                .demand(new Resources(1_000, 100, 0))
                .estimateMillis(estimateMillis)
                .speculative(speculative)
                .build();
    }

    private static Result play(boolean speculative, double load, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Map<String, Long> usualMillis = new HashMap<>();
        CellSession session = new CellSession(seed);
        for (int i = 0; i < WORKERS; i++) {
            session.addWorker("w" + i, WORKER_MILLICORES)
                    .setDurations((task, run) -> duration(task, run, seed, usualMillis));
        }
        session.addHost("h1");
        session.advance(Duration.ofSeconds(3));
        double meanWorkMillis = 15 * 500 * (1 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1));
        double jobsPerMilli = load * WORKERS * WORKER_MILLICORES / 1_000 / meanWorkMillis;
        List<Submitted> open = new ArrayList<>();
        int jobs = 0;
        int inTime = 0;
        int tasks = 0;
        double nextArrival = 0;
        int submitted = 0;
        for (long now = 0; now < PLAY_MILLIS || !open.isEmpty(); now += TICK_MILLIS) {
            while (nextArrival <= now && now < PLAY_MILLIS) {
                nextArrival -= Math.log(1 - random.nextDouble()) / jobsPerMilli;
                String id = String.format("%016x", ++submitted);
                long usual = 200 + random.nextInt(600);
                // The caller's estimate is off by up to a fifth.
                long estimate = (long) (usual * (0.8 + 0.4 * random.nextDouble()));
                int count = 10 + random.nextInt(11);
                usualMillis.put(id, usual);
                JobSpec spec = new JobSpec("work", List.of(step(count, estimate, speculative)), 0, 0, 0);
                session.call("h1", new CallerOperation.Submit(spec), "/q/" + id);
                open.add(new Submitted(id, now, usual));
                tasks += count;
            }
            session.advance(Duration.ofMillis(TICK_MILLIS));
            for (Submitted job : List.copyOf(open)) {
                long took = now + TICK_MILLIS - job.atMillis();
                boolean done = done(session, job.id());
                boolean late = took > 1.5 * job.criticalPathMillis() + 600;
                if (done || late) {
                    open.remove(job);
                    jobs += job.atMillis() >= LEARNING_MILLIS ? 1 : 0;
                    inTime += job.atMillis() >= LEARNING_MILLIS && !late ? 1 : 0;
                }
            }
        }
        return new Result((double) inTime / jobs, jobs, copies(session), tasks);
    }

    private static boolean done(CellSession session, String job) {
        String progress = session.store().value("flamingopitch/progress/" + job);
        return progress != null && progress.contains("\"end\":\"DONE\"");
    }

    private static int copies(CellSession session) {
        int copies = 0;
        for (int i = 0; i < WORKERS; i++) {
            copies += (int) session.worker("w" + i).started().stream()
                    .filter(run -> !run.endsWith("/1"))
                    .count();
        }
        return copies;
    }

    private static void compare(double load, double minGain) {
        for (long seed = 1; seed <= 2; seed++) {
            Result without = play(false, load, seed);
            Result with = play(true, load, seed);
            System.out.printf("load=%.2f seed=%d without=%s with=%s%n", load, seed, without, with);
            assertThat(without.copies()).isZero();
            assertThat(with.inTime()).isGreaterThan(without.inTime() + minGain);
            assertThat(with.copies()).isLessThan(with.tasks() / 10);
        }
    }

    @Test
    void copiesLetMoreJobsEndInTimeAtMediumLoad() {
        compare(0.5, 0.1);
    }

    @Test
    void copiesLetMoreJobsEndInTimeAtHighLoad() {
        compare(0.8, 0.03);
    }

    /** Without free capacity copies must not make it worse. */
    @Test
    void copiesDoNoHarmInOverload() {
        compare(1.3, -0.02);
    }
}
