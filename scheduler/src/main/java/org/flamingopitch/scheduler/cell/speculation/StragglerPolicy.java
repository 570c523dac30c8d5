package org.flamingopitch.scheduler.cell.speculation;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which runs get a copy. It handles queues whose tasks are short and of which a few, the stragglers, take
 * several times as long for a reason that lies in the run and not in the task: one straggler among the tasks of a step
 * delays the whole job. A copy pays if the step is done earlier by more than a share of the copy's own duration, which
 * is higher the fewer processors are free.
 */
public final class StragglerPolicy {

    private static final double MEDIAN = 0.5;

    private StragglerPolicy() {}

    /**
     * Returns the copies that pay. A task's copy pays only if no other task delays the step: the others are expected to
     * be done before, or would get a copy too.
     *
     * @param step the unfinished tasks of a step
     * @param capacity the processor time of the cell
     * @return the copies, in the order of the tasks
     */
    public static List<CopyProposal> propose(SpeculativeStep step, CopyCapacity capacity) {
        if (!step.durations().known() || step.estimateMillis() <= 0) {
            return List.of();
        }
        long copyMillis = (long) (step.estimateMillis() * step.durations().quantile(MEDIAN));
        if (copyMillis > step.untilWorthlessMillis()) {
            return List.of();
        }
        double cost = copyMillis * capacity.costFactor();
        long[] remaining = new long[step.tasks().size()];
        long othersMillis = copyMillis;
        for (int i = 0; i < remaining.length; i++) {
            SpeculativeStep.OpenTask task = step.tasks().get(i);
            remaining[i] = remainingMillis(task, step, copyMillis);
            boolean getsCopy = task.copyable() && remaining[i] - copyMillis > cost;
            othersMillis = getsCopy ? othersMillis : Math.max(othersMillis, remaining[i]);
        }
        List<CopyProposal> proposals = new ArrayList<>();
        for (int i = 0; i < remaining.length; i++) {
            if (step.tasks().get(i).copyable()) {
                CopyProposal proposal = propose(i, step, remaining[i], copyMillis, othersMillis);
                if (proposal.paysAt(capacity)) {
                    proposals.add(proposal);
                }
            }
        }
        return proposals;
    }

    private static CopyProposal propose(
            int index, SpeculativeStep step, long remaining, long copyMillis, long othersMillis) {
        RunProgress run = step.tasks().get(index).runs().get(0);
        boolean savesObjective = copyMillis <= step.untilObjectiveMillis() && remaining > step.untilObjectiveMillis();
        return new CopyProposal(
                index,
                run.elapsedMillis(),
                remaining,
                copyMillis,
                run.percent(),
                savesObjective,
                remaining - othersMillis);
    }

    private static long remainingMillis(SpeculativeStep.OpenTask task, SpeculativeStep step, long copyMillis) {
        return task.runs().stream()
                .mapToLong(run -> expectedRemainingMillis(run, step.durations(), step.estimateMillis()))
                .min()
                .orElse(copyMillis);
    }

    /**
     * Returns how much longer a run is expected to last: by its progress if that is known and the run is not overdue by
     * it, else by the distribution of the durations.
     *
     * @param run the run
     * @param durations the ratios of actual to estimated durations in its queue
     * @param estimateMillis the caller's estimate of its duration
     * @return milliseconds
     */
    public static long expectedRemainingMillis(RunProgress run, DurationDistribution durations, long estimateMillis) {
        long remaining = run.remainingMillisAtPresentSpeed();
        if (remaining > 0 || estimateMillis <= 0) {
            return Math.max(0, remaining);
        }
        return (long) (estimateMillis * durations.expectedRemaining((double) run.elapsedMillis() / estimateMillis));
    }
}
