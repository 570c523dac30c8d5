package org.flamingopitch.scheduler.cell;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.StringJoiner;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.QueueSpec;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;

/** The jobs of a drawn session, and how much its images interfere. */
final class DrawnPlan {

    private static final double TARGET_MILLIS = 2;

    private static final Map<String, Double> COSTS = Map.of("heavy", 12.0, "middle", 5.0, "light", 0.4);

    private static final List<String> BEST_EFFORT_IMAGES = List.of("heavy", "middle", "light");

    private final SplittableRandom random;

    private final List<DrawnJob> jobs = new ArrayList<>();

    private final List<Duration> submissionTimes = new ArrayList<>();

    private final Map<String, Double> baselines = new LinkedHashMap<>();

    private final boolean crashesAtOnce;

    private final boolean learned;

    DrawnPlan(SplittableRandom random) {
        this.random = random;
        crashesAtOnce = random.nextBoolean();
        learned = random.nextInt(3) > 0;
        for (String image : List.of("serving1", "serving2")) {
            baselines.put(image, 1.3 + random.nextInt(14) / 10.0);
        }
    }

    boolean crashesAtOnce() {
        return crashesAtOnce;
    }

    List<DrawnJob> jobs() {
        return jobs;
    }

    Duration submissionTime(int index) {
        return submissionTimes.get(index);
    }

    double baseline(String image) {
        return baselines.get(image);
    }

    /** Returns by how much a best-effort image that uses a whole worker reduces the headroom. */
    double cost(String image) {
        return COSTS.get(image);
    }

    CellConfiguration configuration() {
        List<QueueSpec> queues = new ArrayList<>(InitialConfiguration.create().queues());
        queues.add(SampleQueues.queue("p", 1));
        return new CellConfiguration(2, queues, 100_000);
    }

    String learnedRecord() {
        StringJoiner responses = new StringJoiner(",", "{\"responses\":[", "]}");
        baselines.forEach((image, baseline) -> {
            StringJoiner costs = new StringJoiner(",", "[", "]");
            COSTS.forEach((filling, cost) ->
                    costs.add("{\"filling\":\"" + filling + "\",\"slack\":" + cost + ",\"variance\":0.01}"));
            responses.add("{\"serving\":\"" + image + "\",\"baseline\":" + baseline + ",\"costs\":"
                    + (learned ? costs.toString() : "[]") + "}");
        });
        return responses.toString();
    }

    void drawJobs(int workerCount) {
        for (String image : baselines.keySet()) {
            add(latencyCritical(image, workerCount), DrawnJob.Behaviour.SUCCEEDS, 0, 500);
        }
        boolean label = random.nextInt(3) == 0;
        boolean faults = random.nextInt(2) == 0;
        int shortJobs = random.nextInt(12);
        for (int i = 0; i < shortJobs; i++) {
            add(
                    shortStep(label),
                    faults ? behaviour() : DrawnJob.Behaviour.SUCCEEDS,
                    300 + random.nextInt(4_000),
                    18_000);
        }
        int lastingJobs = random.nextInt(4);
        for (int i = 0; i < lastingJobs; i++) {
            add(lastingStep(label), DrawnJob.Behaviour.SUCCEEDS, 0, 18_000);
        }
        int bestEffortJobs = random.nextInt(30);
        int longest = random.nextInt(3) == 0 ? 30_000 : 5_000;
        for (int i = 0; i < bestEffortJobs; i++) {
            add(
                    bestEffortStep(label),
                    faults ? behaviour() : DrawnJob.Behaviour.SUCCEEDS,
                    300 + random.nextInt(longest),
                    18_000);
        }
        int deadlyJobs = random.nextInt(3) == 0 ? 1 + random.nextInt(2) : 0;
        for (int i = 0; i < deadlyJobs; i++) {
            add(
                    random.nextBoolean() ? bestEffortStep(label) : shortStep(label),
                    DrawnJob.Behaviour.CRASHES_WORKERS,
                    2_000,
                    18_000);
        }
    }

    private DrawnJob.Behaviour behaviour() {
        return switch (random.nextInt(6)) {
            case 0 -> DrawnJob.Behaviour.FAILS;
            case 1 -> DrawnJob.Behaviour.FAILS_AT_TIMES;
            default -> DrawnJob.Behaviour.SUCCEEDS;
        };
    }

    private void add(StepSpecBuilder step, DrawnJob.Behaviour behaviour, long workMillis, int latestMillis) {
        String id = String.format("%016x", jobs.size());
        List<StepSpec> steps = new ArrayList<>();
        steps.add(step.estimateMillis(Math.max(200, workMillis)).build());
        if (behaviour == DrawnJob.Behaviour.SUCCEEDS && workMillis > 0 && random.nextInt(5) == 0) {
            boolean after = random.nextBoolean();
            steps.add(bestEffortStep(false)
                    .after(after ? List.of(0) : List.of())
                    .estimateMillis(workMillis)
                    .build());
        }
        String queue = random.nextInt(3) == 0 ? "q" : "p";
        jobs.add(
                new DrawnJob(id, queue, new JobSpec("work", steps, 0, 0, 0), behaviour, Duration.ofMillis(workMillis)));
        submissionTimes.add(Duration.ofMillis(random.nextInt(latestMillis)));
    }

    private StepSpecBuilder latencyCritical(String image, int workerCount) {
        return new StepSpecBuilder()
                .count(1 + random.nextInt(workerCount))
                .demand(new Resources(1_000 + random.nextInt(5_000), 100, 0))
                .lasting(true)
                .image(image)
                .targetMillis(TARGET_MILLIS)
                .maxPerWorker(1);
    }

    private StepSpecBuilder lastingStep(boolean label) {
        return new StepSpecBuilder()
                .count(1 + random.nextInt(3))
                .demand(new Resources(1_000 + random.nextInt(9_000), 100, 0))
                .lasting(true)
                .requiredLabel(label && random.nextInt(3) == 0 ? "special" : null)
                .maxPerWorker(random.nextInt(2));
    }

    /** Returns the number of tasks of a step: mostly a few, at times more than there are workers. */
    private int width() {
        return random.nextInt(6) == 0 ? 10 + random.nextInt(20) : 1 + random.nextInt(5);
    }

    private StepSpecBuilder shortStep(boolean label) {
        return new StepSpecBuilder()
                .count(width())
                .demand(new Resources(500 + random.nextInt(7_000), random.nextInt(5) == 0 ? 30_000 : 100, 0))
                .checkpointing(random.nextBoolean())
                .speculative(random.nextInt(4) == 0)
                .sameRack(random.nextInt(6) == 0)
                .preferredRack(random.nextInt(6) == 0 ? "r1" : null)
                .requiredLabel(label && random.nextInt(3) == 0 ? "special" : null)
                .maxPerWorker(random.nextInt(4) == 0 ? 1 : 0);
    }

    private StepSpecBuilder bestEffortStep(boolean label) {
        return new StepSpecBuilder()
                .count(random.nextInt(3) == 0 ? width() : 1)
                .demand(new Resources(500 + random.nextInt(7_000), 100, 0))
                .checkpointing(random.nextBoolean())
                .image(BEST_EFFORT_IMAGES.get(random.nextInt(3)))
                .fills(true)
                .requiredLabel(label && random.nextInt(3) == 0 ? "special" : null)
                .maxPerWorker(random.nextInt(4) == 0 ? 1 : 0);
    }
}
