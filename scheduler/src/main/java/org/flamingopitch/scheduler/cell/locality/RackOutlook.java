package org.flamingopitch.scheduler.cell.locality;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * Predicts when the usable workers of a rack next have free capacity, for one placement pass in which many tasks may
 * prefer the rack. Tasks that are left waiting book the slots that they wait for, so that the tasks after them see later
 * ones, and those that would queue for too long can run elsewhere at once.
 *
 * <p>The search for a slot costs at most the number of runs in the rack. A failed search is remembered, so that a long
 * queue of equal steps costs little more than the slots that it can book.
 */
public final class RackOutlook {

    private final Map<WorkerId, WorkerOutlook> workers = new LinkedHashMap<>();

    /** The last failed search for each demand; it fails again later in the pass, as bookings only take capacity. */
    private final Map<Resources, FailedSearch> failedSearches = new HashMap<>();

    /**
     * Creates the outlook.
     *
     * @param usableWorkers the capacity of each usable worker of the rack
     */
    public RackOutlook(List<WorkerCapacity> usableWorkers) {
        usableWorkers.forEach(worker -> workers.put(worker.id(), new WorkerOutlook(worker)));
    }

    /**
     * Returns whether the rack has a usable worker.
     *
     * @return whether it has one
     */
    public boolean usable() {
        return !workers.isEmpty();
    }

    /**
     * Books a slot for each of several equal tasks that wait together, or none if not all of them find one.
     *
     * @param request the tasks
     * @return the time until the last of the slots becomes free, or empty if not all become free in the time limit
     */
    public Optional<Duration> bookAll(Request request) {
        FailedSearch failure = failedSearches.get(request.demand());
        if (request.permitted().isEmpty() && failure != null && failure.covers(request)) {
            return Optional.empty();
        }
        Map<WorkerId, WorkerOutlook> before = new HashMap<>();
        Duration last = Duration.ZERO;
        for (int i = 0; i < request.count(); i++) {
            Optional<Slot> slot = findSlot(request);
            if (slot.isEmpty()) {
                workers.putAll(before);
                if (request.permitted().isEmpty()) {
                    failedSearches.put(request.demand(), new FailedSearch(request.count(), request.longestWait()));
                }
                return Optional.empty();
            }
            WorkerOutlook worker = slot.get().worker();
            before.computeIfAbsent(worker.id, id -> worker.copy());
            worker.book(slot.get().freeAfter(), request.demand(), request.duration());
            last = slot.get().freeAfter().compareTo(last) > 0 ? slot.get().freeAfter() : last;
        }
        return Optional.of(last);
    }

    private Optional<Slot> findSlot(Request request) {
        Slot earliest = null;
        Duration limit = request.longestWait();
        for (WorkerOutlook worker : workers.values()) {
            if (request.permitted().isPresent() && !request.permitted().get().test(worker.id)) {
                continue;
            }
            Optional<Duration> wait = worker.waitFor(request.demand(), limit);
            if (wait.isPresent() && (earliest == null || wait.get().compareTo(limit) < 0)) {
                earliest = new Slot(worker, wait.get());
                limit = wait.get();
            }
        }
        return Optional.ofNullable(earliest);
    }

    /**
     * Takes note of a task that was placed now.
     *
     * @param id its worker; one outside the rack is ignored
     * @param demand the resources that the task reserves
     * @param duration the expected duration of the task
     */
    public void recordPlacement(WorkerId id, Resources demand, Duration duration) {
        WorkerOutlook worker = workers.get(id);
        if (worker != null) {
            worker.book(Duration.ZERO, demand, duration);
        }
    }

    /**
     * Equal tasks that wait for slots together.
     *
     * @param count the number of tasks
     * @param demand the resources that each task reserves
     * @param duration the expected duration of a task
     * @param longestWait how long the tasks may wait
     * @param permitted the workers that may run the tasks, or empty if all may
     */
    public record Request(
            int count,
            Resources demand,
            Duration duration,
            Duration longestWait,
            Optional<Predicate<WorkerId>> permitted) {}

    /**
     * Resources that a run reserves until its end.
     *
     * @param after the time until the end
     * @param resources the resources
     */
    public record Release(Duration after, Resources resources) {}

    /**
     * The capacity of a worker.
     *
     * @param id the worker
     * @param free its free resources
     * @param releases the runs that are expected to end
     */
    public record WorkerCapacity(WorkerId id, Resources free, List<Release> releases) {}

    private record Slot(WorkerOutlook worker, Duration freeAfter) {}

    private record FailedSearch(int count, Duration longestWait) {

        private boolean covers(Request request) {
            return request.count() >= count && request.longestWait().compareTo(longestWait) <= 0;
        }
    }

    private static final class WorkerOutlook {

        private final WorkerId id;

        /** In the order of their times. */
        private final List<Release> releases;

        /** The resources that are free from {@link #freeFrom} on. */
        private Resources free;

        private Duration freeFrom = Duration.ZERO;

        private WorkerOutlook(WorkerCapacity capacity) {
            id = capacity.id();
            free = capacity.free();
            releases = new ArrayList<>(capacity.releases());
            releases.sort(Comparator.comparing(Release::after));
        }

        private WorkerOutlook copy() {
            WorkerOutlook copy = new WorkerOutlook(new WorkerCapacity(id, free, releases));
            copy.freeFrom = freeFrom;
            return copy;
        }

        private Optional<Duration> waitFor(Resources demand, Duration limit) {
            if (freeFrom.compareTo(limit) > 0) {
                return Optional.empty();
            }
            if (demand.fitsInto(free)) {
                return Optional.of(freeFrom);
            }
            Resources expectedFree = free;
            for (Release release : releases) {
                if (release.after().compareTo(limit) > 0) {
                    return Optional.empty();
                }
                expectedFree = expectedFree.plus(release.resources());
                if (demand.fitsInto(expectedFree)) {
                    return Optional.of(release.after());
                }
            }
            return Optional.empty();
        }

        /** Books resources from the given time on; other resources count as free only from then on. */
        private void book(Duration wait, Resources demand, Duration duration) {
            freeFrom = wait.compareTo(freeFrom) > 0 ? wait : freeFrom;
            while (!releases.isEmpty() && releases.get(0).after().compareTo(wait) <= 0) {
                free = free.plus(releases.remove(0).resources());
            }
            free = free.minus(demand);
            Release release = new Release(wait.plus(duration), demand);
            int index = Collections.binarySearch(releases, release, Comparator.comparing(Release::after));
            releases.add(index < 0 ? -index - 1 : index, release);
        }
    }
}
