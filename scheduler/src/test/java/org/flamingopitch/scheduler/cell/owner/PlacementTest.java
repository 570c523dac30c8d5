package org.flamingopitch.scheduler.cell.owner;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.Test;

/** Load: workers on which serving tasks of some images run, and tasks that look for a place among them. */
final class PlacementTest {

    private static final long CORES = 16_000;

    private static final double TARGET = 40;

    private final Placement placement = new Placement(new WorkerHealth(), new Interference());

    private int jobs;

    private WorkerState worker(String name, String... images) {
        WorkerState worker = OwnerFixtures.worker(name, CORES);
        for (String image : images) {
            OwnerFixtures.run(OwnerFixtures.task(serving(image)), worker, TARGET / 2);
        }
        return worker;
    }

    private Job serving(String image) {
        jobs++;
        return OwnerFixtures.job("s" + jobs, OwnerFixtures.servingStep(image, 3_000, TARGET), OwnerFixtures.NOW);
    }

    private static StepSpec plain(int count, long milliCores, String label, int maxPerWorker) {
        Resources demand = new Resources(milliCores, 10, 0);
        return new StepSpec(
                count,
                demand,
                1_000,
                List.of(),
                true,
                false,
                false,
                label,
                null,
                maxPerWorker,
                false,
                false,
                null,
                0,
                false,
                0);
    }

    private WorkerState best(Job job, WorkerState... workers) {
        PlacingPass pass = placement.begin(Arrays.asList(workers), each -> true, OwnerFixtures.NOW);
        WorkerView view = pass.search(job.step(0, 0)).best(OwnerFixtures.task(job));
        return view == null ? null : view.worker();
    }

    @Test
    void servingTaskGoesBesideItsOwnImage() {
        WorkerState own = worker("own", "web");
        WorkerState other = worker("other", "mail", "mail", "mail", "mail");
        WorkerState empty = worker("empty");
        assertThat(best(serving("web"), other, empty, own)).isSameAs(own);
    }

    @Test
    void servingTaskWithoutSuchAPlaceLeavesWorkersOfOneImageAlone() {
        WorkerState pure = worker("pure", "mail", "mail");
        WorkerState mixed = worker("mixed", "mail", "news");
        assertThat(best(serving("web"), pure, mixed)).isSameAs(mixed);
    }

    @Test
    void shortTaskGoesIntoTheSmallestGap() {
        WorkerState wide = worker("wide", "mail");
        WorkerState narrow = worker("narrow", "mail", "mail", "mail", "mail");
        Job job = OwnerFixtures.job("p", plain(1, 2_000, null, 0), OwnerFixtures.NOW);
        assertThat(best(job, wide, narrow)).isSameAs(narrow);
    }

    @Test
    void taskGoesOnlyWhereItsLabelIsAndItFits() {
        WorkerState worker = worker("w", "mail", "mail");
        Job elsewhere = OwnerFixtures.job("l", plain(1, 1_000, "gpu", 0), OwnerFixtures.NOW);
        Job labelled = OwnerFixtures.job("a", plain(1, 1_000, "a", 0), OwnerFixtures.NOW);
        Job tooLarge = OwnerFixtures.job("t", plain(1, 11_000, null, 0), OwnerFixtures.NOW);
        assertThat(best(elsewhere, worker)).isNull();
        assertThat(best(labelled, worker)).isSameAs(worker);
        assertThat(best(tooLarge, worker)).isNull();
    }

    @Test
    void tasksOfAStepAreSpreadAsItAsks() {
        WorkerState first = worker("first");
        WorkerState second = worker("second");
        Job job = OwnerFixtures.job("s", plain(3, 1_000, null, 1), OwnerFixtures.NOW);
        PlacingPass pass = placement.begin(List.of(first, second), each -> true, OwnerFixtures.NOW);
        PlacingPass.Search search = pass.search(job.step(0, 0));
        for (int i = 0; i < 2; i++) {
            Task task = job.step(0, 0).tasks().get(i);
            WorkerView view = search.best(task);
            view.worker().add(task.place(view.worker(), OwnerFixtures.NOW));
            search.placed(view);
        }
        assertThat(first.runs()).hasSize(1);
        assertThat(second.runs()).hasSize(1);
        assertThat(search.best(job.step(0, 0).tasks().get(2))).isNull();
    }
}
