package org.flamingopitch.scheduler.cell.feature;

import java.util.Locale;

/** A decision mechanism that can be switched off alone. No gate switches off what a promise depends on. */
public enum FeatureGate {
    /** Rejects jobs that would not be done in time; off: all are admitted. */
    ADMISSION("rejects jobs that would not be done in time"),

    /** Prefers classes of jobs that were served less than others; off: all classes count alike. */
    SERVICE_SHARES("prefers classes of jobs that were served less than others"),

    /** Preempts best-effort tasks for short tasks that reserve processors; off: these wait. */
    PREEMPTION("preempts best-effort tasks for short tasks that reserve processors"),

    /** Starts copies of stragglers; off: each task has one run. */
    COPIES("starts copies of stragglers"),

    /** Lets tasks wait for their rack; off: they are placed at once, on their rack if it has capacity. */
    RACK_WAITS("lets tasks wait for their rack"),

    /** Orders jobs by value for work; off: by the time of their submission. */
    VALUE_ORDER("orders jobs by value for work"),

    /** Gives started jobs more weight in the order by value; off: the same as others. */
    STARTED_JOB_WEIGHT("gives started jobs more weight"),

    /** Places latency-critical tasks beside others of their image; off: wherever they fit best. */
    IMAGE_GROUPING("places latency-critical tasks beside others of their image"),

    /** Keeps a share of the workers free of latency-critical tasks; off: none. */
    RESERVED_WORKERS("keeps a share of the workers free of latency-critical tasks"),

    /** Throttles best-effort tasks by the estimated interference; off: only after a target was missed. */
    PREDICTIVE_THROTTLING("throttles best-effort tasks by the estimated interference"),

    /** Moves best-effort tasks that would stay paused; off: they stay. */
    DISPLACEMENT("moves best-effort tasks that would stay paused"),

    /** Starts a task of an idle job that every worker of a cell with free capacity would keep out; off: it waits. */
    SLOW_STARTS("starts short tasks that would wait for good in spite of obstacles"),

    /** Gives workers that fail or stall no work for a time; off: they get work as before. */
    QUARANTINE("gives workers that fail or stall no work for a time"),

    /** Stops runs that make no progress; off: they go on. */
    STALL_DETECTION("stops runs that make no progress"),

    /** Refuses submissions while the store is away; off: they wait until their deadline. */
    OUTAGE_REFUSALS("refuses submissions while the store is away");

    private final String summary;

    FeatureGate(String summary) {
        this.summary = summary;
    }

    /**
     * Returns what the mechanism does.
     *
     * @return one line without a full stop
     */
    public String summary() {
        return summary;
    }

    /**
     * Returns the name in options, logs and metrics.
     *
     * @return the name, words in lower case joined by hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
