package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.Test;

/** Placement of tasks on workers that already run latency-critical tasks of some images. */
final class PlacementPolicyTest {

    private static final long WORKER_MILLICORES = 16_000;

    private static final double TARGET_MILLIS = 40;

    private final WorkerHealth health = new WorkerHealth();

    private final PlacementPolicy placement = new PlacementPolicy(health, new InterferenceEstimator());

    private int jobCount;

    private WorkerState worker(String name, String... images) {
        WorkerState worker = OwnerFixtures.worker(name, WORKER_MILLICORES);
        for (String image : images) {
            OwnerFixtures.run(OwnerFixtures.task(latencyCriticalJob(image)), worker, TARGET_MILLIS / 2);
        }
        return worker;
    }

    private Job latencyCriticalJob(String image) {
        jobCount++;
        return OwnerFixtures.job(
                "s" + jobCount, OwnerFixtures.latencyCriticalStep(image, 3_000, TARGET_MILLIS), OwnerFixtures.NOW);
    }

    private static StepSpec batchStep(int count, long milliCores, String label, int maxPerWorker) {
        Resources demand = new Resources(milliCores, 10, 0);
        return new StepSpecBuilder()
                .count(count)
                .demand(demand)
                .estimateMillis(1_000)
                .checkpointing(true)
                .requiredLabel(label)
                .maxPerWorker(maxPerWorker)
                .build();
    }

    private WorkerState findBest(Job job, WorkerState... workers) {
        PlacementPass pass = placement.startPass(Arrays.asList(workers), each -> true, OwnerFixtures.NOW);
        PlacementCandidate candidate = pass.search(job.step(0, 0)).findBest(OwnerFixtures.task(job));
        return candidate == null ? null : candidate.worker();
    }

    @Test
    void latencyCriticalTaskIsPlacedBesideItsOwnImage() {
        WorkerState own = worker("own", "web");
        WorkerState other = worker("other", "mail", "mail", "mail", "mail");
        WorkerState empty = worker("empty");
        assertThat(findBest(latencyCriticalJob("web"), other, empty, own)).isSameAs(own);
    }

    @Test
    void latencyCriticalTaskOfANewImageIsNotPlacedOnAWorkerWithOneOtherImage() {
        WorkerState pure = worker("pure", "mail", "mail");
        WorkerState mixed = worker("mixed", "mail", "news");
        assertThat(findBest(latencyCriticalJob("web"), pure, mixed)).isSameAs(mixed);
    }

    @Test
    void shortTaskIsPlacedInTheSmallestGap() {
        WorkerState wide = worker("wide", "mail");
        WorkerState narrow = worker("narrow", "mail", "mail", "mail", "mail");
        Job job = OwnerFixtures.job("p", batchStep(1, 2_000, null, 0), OwnerFixtures.NOW);
        assertThat(findBest(job, wide, narrow)).isSameAs(narrow);
    }

    @Test
    void taskIsPlacedOnlyWhereItsLabelMatchesAndItFits() {
        WorkerState worker = worker("w", "mail", "mail");
        Job otherLabel = OwnerFixtures.job("l", batchStep(1, 1_000, "gpu", 0), OwnerFixtures.NOW);
        Job labelled = OwnerFixtures.job("a", batchStep(1, 1_000, "a", 0), OwnerFixtures.NOW);
        Job tooLarge = OwnerFixtures.job("t", batchStep(1, 11_000, null, 0), OwnerFixtures.NOW);
        assertThat(findBest(otherLabel, worker)).isNull();
        assertThat(findBest(labelled, worker)).isSameAs(worker);
        assertThat(findBest(tooLarge, worker)).isNull();
    }

    @Test
    void workerInQuarantineGetsOneShortTaskOnlyIfNoOtherWorkerHasCapacity() {
        WorkerState quarantined = worker("quarantined");
        health.quarantine(quarantined.id(), OwnerFixtures.NOW);
        Job job = OwnerFixtures.job("q", batchStep(2, 12_000, null, 0), OwnerFixtures.NOW);
        assertThat(findBest(job, quarantined, worker("sound"))).isNotSameAs(quarantined);
        Job small = OwnerFixtures.job("s", batchStep(2, 1_000, null, 0), OwnerFixtures.NOW);
        assertThat(findBest(small, quarantined)).isSameAs(quarantined);
        quarantined.add(OwnerFixtures.task(small).place(quarantined, OwnerFixtures.NOW));
        assertThat(findBest(small, quarantined)).isNull();
    }

    @Test
    void tasksOfAStepAreSpreadByItsMaximumPerWorker() {
        WorkerState first = worker("first");
        WorkerState second = worker("second");
        Job job = OwnerFixtures.job("s", batchStep(3, 1_000, null, 1), OwnerFixtures.NOW);
        PlacementPass pass = placement.startPass(List.of(first, second), each -> true, OwnerFixtures.NOW);
        PlacementPass.Search search = pass.search(job.step(0, 0));
        for (int i = 0; i < 2; i++) {
            Task task = job.step(0, 0).tasks().get(i);
            PlacementCandidate candidate = search.findBest(task);
            candidate.worker().add(task.place(candidate.worker(), OwnerFixtures.NOW));
            search.onPlaced(candidate);
        }
        assertThat(first.runs()).hasSize(1);
        assertThat(second.runs()).hasSize(1);
        assertThat(search.findBest(job.step(0, 0).tasks().get(2))).isNull();
    }
}
