package org.flamingopitch.scheduler.cell.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.flamingopitch.scheduler.cell.locality.GroupRack;
import org.flamingopitch.scheduler.cell.locality.PlacementDecision;
import org.flamingopitch.scheduler.cell.locality.RackOutlook;
import org.flamingopitch.scheduler.cell.locality.RackWaitOutcome;
import org.flamingopitch.scheduler.cell.locality.RemainingTime;
import org.flamingopitch.scheduler.cell.locality.WaitRule;
import org.flamingopitch.scheduler.cell.locality.WaitSituation;
import org.flamingopitch.scheduler.cell.model.ServiceName;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;

/**
 * Leaves tasks waiting for the rack of their data or their group while the {@link WaitRule} says that this pays:
 * collects what the rule needs to know, records the waits, and logs their beginnings and ends.
 */
final class RackWaitPlanner {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Expected time until the end of a run that is being stopped. */
    private static final Duration EXPECTED_STOP_TIME = Duration.ofMillis(500);

    private final double farFactor;

    private final DurationEstimates estimates;

    private final WaitRule rule;

    private final BiConsumer<RackWaitOutcome, Duration> waitRecorder;

    private final Map<RackKey, RackOutlook> outlooks = new HashMap<>();

    /** Which services are loaded, as far as this pass has looked. */
    private final Map<ServiceName, Boolean> loadedServices = new HashMap<>();

    private boolean enabled = true;

    private PlacementPass pass;

    private Predicate<WorkerState> answering;

    private Instant now;

    /** When the first of the tasks left waiting in this pass is to be decided again. */
    private Instant nextDecisionAt;

    RackWaitPlanner(
            double farFactor,
            DurationEstimates estimates,
            WaitRule rule,
            BiConsumer<RackWaitOutcome, Duration> waitRecorder) {
        this.farFactor = farFactor;
        this.estimates = estimates;
        this.rule = rule;
        this.waitRecorder = waitRecorder;
    }

    /** Sets whether tasks wait for their rack; they do unless this is called. */
    void setEnabled(boolean waitsForRacks) {
        enabled = waitsForRacks;
    }

    /**
     * Begins a placement pass.
     *
     * @param answers whether the last call to a worker was answered
     */
    void startPass(PlacementPass newPass, Predicate<WorkerState> answers, Instant newNow) {
        pass = newPass;
        answering = answers;
        now = newNow;
        nextDecisionAt = Instant.MAX;
        outlooks.clear();
        loadedServices.clear();
    }

    /**
     * Returns the racks that tasks of open jobs prefer and may wait for, so that other tasks can keep their workers free.
     * Jobs count as long as a step is not done, since the capacity is taken between their submissions.
     */
    Set<String> preferredRacks(Collection<Job> openJobs) {
        if (farFactor <= 1) {
            return Set.of();
        }
        Set<String> racks = new HashSet<>();
        for (Job job : openJobs) {
            for (List<Step> steps : job.occurrences()) {
                for (Step step : steps) {
                    if (!step.done() && waits(step)) {
                        racks.add(rackOf(step));
                    }
                }
            }
        }
        return racks;
    }

    /** Returns when the first task left waiting in this pass is to be decided again; {@link Instant#MAX} if none is. */
    Instant nextDecisionAt() {
        return nextDecisionAt;
    }

    /** Begins the placement of a step's tasks, and chooses the rack of a group of which no task runs yet. */
    StepPlan plan(Step step) {
        if (isGroup(step) && step.groupRack() == null) {
            chooseGroupRack(step);
        }
        String rack = waits(step) ? rackOf(step) : null;
        return new StepPlan(step, rack);
    }

    /** Takes note of a placement in this pass, which takes capacity in a rack and ends the task's wait. */
    void onPlaced(Task task, PlacementCandidate candidate) {
        Step step = task.step();
        WorkerState worker = candidate.worker();
        boolean near = near(step, worker);
        if (isGroup(step)) {
            String rack = rackOf(worker, step.groupRack());
            step.setGroupRack(
                    step.groupRack() == null
                            ? new GroupRack(rack, false)
                            : step.groupRack().afterPlacement(rack));
        }
        Duration duration = near ? expectedDuration(step) : multiply(expectedDuration(step), farFactor);
        for (String label : worker.entry().labels()) {
            RackOutlook outlook = outlooks.get(new RackKey(worker.entry().service(), label));
            if (outlook != null) {
                outlook.recordPlacement(worker.id(), step.spec().reserved(), duration);
            }
        }
        if (task.rackWaitSince() != null && !task.rackWaitEnded()) {
            endWait(task, near);
        }
    }

    /**
     * Returns the factor by which the distance of the worker from the data or the group of the run's task lengthens the
     * run.
     */
    double distanceFactor(Run run) {
        return near(run.task().step(), run.worker()) ? 1 : farFactor;
    }

    private void endWait(Task task, boolean near) {
        task.endRackWait();
        Duration waited = Duration.between(task.rackWaitSince(), now);
        String rack = rackOf(task.step());
        boolean usable = outlook(task.step(), rack).usable();
        RackWaitOutcome outcome = near ? RackWaitOutcome.NEAR : usable ? RackWaitOutcome.FAR : RackWaitOutcome.LOST;
        LOGGER.atInfo().log(
                "event=wait_for_rack_ended task=%s rack=%s outcome=%s waited_ms=%d",
                task.ref(), rack, outcome.label(), waited.toMillis());
        waitRecorder.accept(outcome, waited);
    }

    /**
     * Returns whether tasks of the step may wait. Long-running tasks do not, as the platform counts them as unavailable;
     * nor do best-effort tasks, which reserve no processors, so that no run's end gives them a slot.
     */
    private boolean waits(Step step) {
        StepSpec spec = step.spec();
        boolean hasRack =
                isGroup(step) ? step.groupRack() != null && !step.groupRack().lost() : spec.preferredRack() != null;
        return enabled && farFactor > 1 && hasRack && !spec.lasting() && !spec.fills();
    }

    /** Returns whether the tasks of the step are slower on several racks; a single task cannot be spread. */
    private static boolean isGroup(Step step) {
        return step.spec().sameRack() && step.spec().count() > 1;
    }

    /** Returns the rack that the step's tasks prefer, or null. */
    private static String rackOf(Step step) {
        return isGroup(step) && step.groupRack() != null
                ? step.groupRack().rack()
                : step.spec().preferredRack();
    }

    /** Returns the rack of a worker; that of the group if the worker has its label. */
    private String rackOf(WorkerState worker, GroupRack groupRack) {
        boolean inGroupRack = groupRack != null && worker.entry().labels().contains(groupRack.rack());
        return inGroupRack
                ? groupRack.rack()
                : pass.racks().rackOf(worker.entry().labels());
    }

    private static boolean near(Step step, WorkerState worker) {
        StepSpec spec = step.spec();
        if (!worker.registered()) {
            return true;
        }
        boolean besideData =
                spec.preferredRack() == null || worker.entry().labels().contains(spec.preferredRack());
        boolean besideGroup = !isGroup(step)
                || step.groupRack() == null
                || !step.groupRack().lost()
                        && worker.entry().labels().contains(step.groupRack().rack());
        return besideData && besideGroup;
    }

    private void chooseGroupRack(Step step) {
        for (Task task : step.tasks()) {
            if (task.run() != null && task.run().worker().registered()) {
                String rack = rackOf(task.run().worker(), step.groupRack());
                step.setGroupRack(
                        step.groupRack() == null
                                ? new GroupRack(rack, false)
                                : step.groupRack().afterPlacement(rack));
            }
        }
        if (step.groupRack() != null || farFactor <= 1) {
            return;
        }
        String preferred = step.spec().preferredRack();
        if (preferred != null && outlook(step, preferred).usable()) {
            step.setGroupRack(new GroupRack(preferred, false));
            return;
        }
        Map<String, Long> freeSlots = new HashMap<>();
        for (PlacementCandidate candidate : pass.candidates()) {
            if (dependable(candidate, step) && pass.permits(step, candidate.worker())) {
                String rack = rackOf(candidate.worker(), null);
                freeSlots.merge(rack, countSlots(step, candidate.free()), Long::sum);
            }
        }
        GroupRack.choose(freeSlots).ifPresent(step::setGroupRack);
    }

    private static long countSlots(Step step, Resources free) {
        Resources demand = step.spec().reserved();
        long slots = step.tasks().size();
        if (demand.milliCores() > 0) {
            slots = Math.min(slots, free.milliCores() / demand.milliCores());
        }
        if (demand.memoryMegabytes() > 0) {
            slots = Math.min(slots, free.memoryMegabytes() / demand.memoryMegabytes());
        }
        if (demand.accelerators() > 0) {
            slots = Math.min(slots, free.accelerators() / demand.accelerators());
        }
        return Math.max(0, slots);
    }

    /** Returns whether a usable worker is no last resort and not reserved for a task. */
    private boolean dependable(PlacementCandidate candidate, Step step) {
        WorkerState worker = candidate.worker();
        return worker.entry().service().equals(step.job().queue().service())
                && worker.entry().warmUpRemainingMillis() <= 0
                && !candidate.quarantined()
                && worker.reservedFor(now) == null;
    }

    private RackOutlook outlook(Step step, String rack) {
        RackKey key = new RackKey(step.job().queue().service(), rack);
        return outlooks.computeIfAbsent(key, newKey -> {
            List<RackOutlook.WorkerCapacity> workers = new ArrayList<>();
            for (PlacementCandidate candidate : pass.candidates(newKey.service(), rack)) {
                if (dependable(candidate, step)) {
                    workers.add(new RackOutlook.WorkerCapacity(
                            candidate.worker().id(), candidate.worker().free(), releases(candidate.worker())));
                }
            }
            return new RackOutlook(workers);
        });
    }

    private List<RackOutlook.Release> releases(WorkerState worker) {
        List<RackOutlook.Release> releases = new ArrayList<>();
        for (Run run : worker.runs()) {
            StepSpec spec = run.task().step().spec();
            if (run.phase() == RunPhase.STOPPING) {
                releases.add(new RackOutlook.Release(EXPECTED_STOP_TIME, spec.reserved()));
            } else if (!spec.lasting()) {
                releases.add(new RackOutlook.Release(remainingTime(run), spec.reserved()));
            }
        }
        return releases;
    }

    /** Returns the remaining time of a task, by the run of it that ends first; empty if it has no run. */
    private Optional<Duration> remainingTime(Task task) {
        return task.runs().stream()
                .filter(run -> run.phase() != RunPhase.STOPPING)
                .map(this::remainingTime)
                .min(Duration::compareTo);
    }

    private Duration remainingTime(Run run) {
        return RemainingTime.estimate(
                Duration.between(run.placedAt(), now),
                multiply(expectedDuration(run.task().step()), distanceFactor(run)),
                run.progressPercent(),
                Duration.between(run.progressAt(), now));
    }

    private Duration expectedDuration(Step step) {
        return Duration.ofMillis(
                estimates.expectedMillis(step.job().queue().name(), step.spec().estimateMillis()));
    }

    /** Returns the longest expected time from the end of a step to the end of its occurrence of the job. */
    private Duration timeAfter(Step step) {
        List<Step> steps = step.job().occurrences().get(step.occurrence());
        long[] millisAfter = new long[steps.size()];
        for (int i = steps.size() - 1; i > step.index(); i--) {
            long millis = expectedDuration(steps.get(i)).toMillis() + millisAfter[i];
            for (int predecessor : steps.get(i).spec().after()) {
                millisAfter[predecessor] = Math.max(millisAfter[predecessor], millis);
            }
        }
        return Duration.ofMillis(millisAfter[step.index()]);
    }

    private static Duration multiply(Duration time, double factor) {
        return Duration.ofMillis(Math.round(time.toMillis() * factor));
    }

    /** The placement of the tasks of one step in this pass. */
    final class StepPlan {

        private final Step step;

        /** The rack that the tasks may wait for, or null if they do not wait. */
        private final String rack;

        /** The decision for the step's tasks that find no free capacity in the rack; null before it is needed. */
        private PlacementDecision decision;

        /** When the first of the tasks was left waiting, or the present; set with the decision. */
        private Instant waitSince;

        private StepPlan(Step step, String rack) {
            this.step = step;
            this.rack = rack;
        }

        /**
         * Returns whether all the tasks go on waiting for the rack, so that no worker needs to be searched. This keeps the
         * cost of a pass for tasks that wait independent of the number of workers.
         */
        boolean keepsAllWaiting(List<Task> tasks) {
            if (rack == null || tasks.stream().anyMatch(task -> task.rackWaitSince() == null)) {
                return false;
            }
            boolean nearFree = pass.candidates(step.job().queue().service(), rack).stream()
                    .anyMatch(candidate -> step.spec().reserved().fitsInto(candidate.free()));
            return !nearFree
                    && tasks.stream().allMatch(this::mayWait)
                    && decide() instanceof PlacementDecision.WaitForRack wait
                    && !leavesJobIdle(wait.until());
        }

        /**
         * Returns whether the task is left waiting for its rack although a worker has capacity for it.
         *
         * @param best the best worker for the task now
         */
        boolean leavesWaiting(Task task, PlacementCandidate best) {
            if (rack == null
                    || !waits(step)
                    || !mayWait(task)
                    || best.worker().entry().labels().contains(rack)) {
                return false;
            }
            if (!(decide() instanceof PlacementDecision.WaitForRack wait) || leavesJobIdle(wait.until())) {
                return false;
            }
            if (task.rackWaitSince() == null) {
                task.startRackWait(now);
                LOGGER.atInfo().log(
                        "event=wait_for_rack task=%s rack=%s wait_ms=%d far_cost_ms=%d",
                        task.ref(),
                        rack,
                        Duration.between(now, wait.until()).toMillis(),
                        multiply(expectedDuration(step), farFactor - 1).toMillis());
            }
            return true;
        }

        /** A task that may crash its worker, or that already waited for the rack before an earlier run, does not wait. */
        private boolean mayWait(Task task) {
            return !task.suspect() && !task.rackWaitEnded() && !task.hasReservation(now);
        }

        private PlacementDecision decide() {
            if (decision == null) {
                decision = applyRule();
                if (decision instanceof PlacementDecision.WaitForRack wait) {
                    nextDecisionAt = wait.until().isBefore(nextDecisionAt) ? wait.until() : nextDecisionAt;
                }
            }
            return decision;
        }

        private PlacementDecision applyRule() {
            List<Task> waiting = step.tasks().stream()
                    .filter(task -> task.waiting(now) && mayWait(task))
                    .toList();
            Duration waited = waiting.stream()
                    .filter(task -> task.rackWaitSince() != null)
                    .map(task -> Duration.between(task.rackWaitSince(), now))
                    .max(Duration::compareTo)
                    .orElse(Duration.ZERO);
            waitSince = now.minus(waited);
            Duration siblingsEnd = step.tasks().stream()
                    .filter(task -> !task.done())
                    .flatMap(task -> remainingTime(task).stream())
                    .max(Duration::compareTo)
                    .orElse(Duration.ZERO);
            Duration duration = expectedDuration(step);
            Duration untilObjective =
                    Duration.between(now, step.job().objective()).minus(timeAfter(step));
            Duration longestWait = WaitSituation.longestWait(duration, farFactor, waited, siblingsEnd);
            RackOutlook outlook = outlook(step, rack);
            RackOutlook.Request request = new RackOutlook.Request(
                    waiting.size(), step.spec().reserved(), duration, longestWait, permittedWorkers(waiting));
            // Capacity that is free now but was not chosen cannot be used by the tasks.
            Optional<Duration> expectedWait = outlook.bookAll(request).filter(wait -> !wait.isZero());
            return rule.decide(
                    new WaitSituation(
                            false,
                            outlook.usable(),
                            expectedWait,
                            duration,
                            farFactor,
                            waited,
                            untilObjective,
                            siblingsEnd),
                    now);
        }

        /**
         * Returns whether a wait would leave the job with nothing at work for too long although the service is not loaded.
         * The platform expects a start within 3 s then, whatever a far placement costs. Once one task is placed, the
         * others wait.
         */
        private boolean leavesJobIdle(Instant waitUntil) {
            if (step.job().hasOpenRun()) {
                return false;
            }
            Instant idleSince = step.job().occurrences().stream()
                    .flatMap(List::stream)
                    .flatMap(each -> each.tasks().stream())
                    .map(Task::waitingSince)
                    .filter(waitSince::isBefore)
                    .max(Instant::compareTo)
                    .orElse(waitSince);
            return waitUntil.isAfter(idleSince.plus(IdleJob.NOTICEABLE_TIME))
                    && !loadedServices.computeIfAbsent(
                            step.job().queue().service(), service -> ServiceLoad.high(service, pass, answering, now));
        }

        /** Returns which workers of the rack may run the tasks, or empty if all may. */
        private Optional<Predicate<WorkerId>> permittedWorkers(List<Task> tasks) {
            boolean anyWorker = step.spec().requiredLabel() == null
                    && step.spec().maxPerWorker() == 0
                    && tasks.stream().allMatch(task -> task.avoidedWorkerCount() == 0);
            if (anyWorker) {
                return Optional.empty();
            }
            Set<WorkerId> permitted = new HashSet<>();
            for (PlacementCandidate candidate :
                    pass.candidates(step.job().queue().service(), rack)) {
                WorkerId id = candidate.worker().id();
                if (pass.permits(step, candidate.worker()) && tasks.stream().noneMatch(task -> task.avoids(id))) {
                    permitted.add(id);
                }
            }
            return Optional.of(permitted::contains);
        }
    }

    private record RackKey(ServiceName service, String rack) {}
}
