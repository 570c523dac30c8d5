package org.flamingopitch.scheduler.cell.model;

import java.util.List;
import org.flamingopitch.scheduler.model.Resources;

/** Builds the specification of a step for tests; every property that is not set is absent, zero or false. */
public final class StepSpecBuilder {

    private int count = 1;

    private Resources demand = Resources.NONE;

    private long estimateMillis;

    private List<Integer> after = List.of();

    private boolean checkpointing;

    private boolean gang;

    private boolean sameRack;

    private String requiredLabel;

    private String preferredRack;

    private int maxPerWorker;

    private boolean speculative;

    private boolean lasting;

    private String image;

    private double targetMillis;

    private boolean fills;

    private int maxUnavailable;

    /**
     * Sets the number of tasks.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder count(int value) {
        count = value;
        return this;
    }

    /**
     * Sets the resources that each task needs.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder demand(Resources value) {
        demand = value;
        return this;
    }

    /**
     * Sets the estimated duration of a task, in milliseconds.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder estimateMillis(long value) {
        estimateMillis = value;
        return this;
    }

    /**
     * Sets the indexes of the steps before it.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder after(List<Integer> value) {
        after = value;
        return this;
    }

    /**
     * Sets whether a task can resume from a checkpoint.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder checkpointing(boolean value) {
        checkpointing = value;
        return this;
    }

    /**
     * Sets whether the tasks must run at the same time.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder gang(boolean value) {
        gang = value;
        return this;
    }

    /**
     * Sets whether the tasks are slower on several racks.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder sameRack(boolean value) {
        sameRack = value;
        return this;
    }

    /**
     * Sets a label that a worker must have.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder requiredLabel(String value) {
        requiredLabel = value;
        return this;
    }

    /**
     * Sets the rack that holds the data.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder preferredRack(String value) {
        preferredRack = value;
        return this;
    }

    /**
     * Sets how many tasks may run on one worker.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder maxPerWorker(int value) {
        maxPerWorker = value;
        return this;
    }

    /**
     * Sets whether copies of a task may run.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder speculative(boolean value) {
        speculative = value;
        return this;
    }

    /**
     * Sets whether the tasks are long-running.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder lasting(boolean value) {
        lasting = value;
        return this;
    }

    /**
     * Sets the image that the tasks run.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder image(String value) {
        image = value;
        return this;
    }

    /**
     * Sets the target for the tail response time, in milliseconds.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder targetMillis(double value) {
        targetMillis = value;
        return this;
    }

    /**
     * Sets whether the tasks are best-effort.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder fills(boolean value) {
        fills = value;
        return this;
    }

    /**
     * Sets how many tasks may be down because of the scheduler.
     *
     * @param value the value
     * @return this builder
     */
    public StepSpecBuilder maxUnavailable(int value) {
        maxUnavailable = value;
        return this;
    }

    /**
     * Creates the specification.
     *
     * @return the specification
     */
    public StepSpec build() {
        return new StepSpec(
                count,
                demand,
                estimateMillis,
                after,
                checkpointing,
                gang,
                sameRack,
                requiredLabel,
                preferredRack,
                maxPerWorker,
                speculative,
                lasting,
                image,
                targetMillis,
                fills,
                maxUnavailable);
    }
}
