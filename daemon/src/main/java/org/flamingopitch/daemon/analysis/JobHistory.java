package org.flamingopitch.daemon.analysis;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

/**
 * What the logs say about one job. The logs of two owners may both have a job's submission or end, and may be read in
 * any order; the earliest counts. Times are in microseconds since the epoch.
 */
final class JobHistory {

    /** How a job ended. */
    enum End {
        /** All tasks are done. */
        DONE,
        /** A task has used up its attempts. */
        FAILED,
        /** The caller cancelled the job. */
        CANCELLED
    }

    /**
     * A rejection as the owner or the host that took the request logged it.
     *
     * @param micros when
     * @param dataCentre the data centre of the host that took the request, empty if unknown
     * @param reason why
     */
    record Rejection(long micros, String dataCentre, String reason) {}

    /**
     * A host's answer that is later than this after the owner's rejection counts as a rejection of its own. Hosts wait
     * for the owner for at most the queue's timeout, by default 3 s.
     */
    private static final long MAX_ANSWER_DELAY_MICROS = 4_000_000;

    /** Collected lines are not exactly in order: an answer may be stamped this much before the owner's rejection. */
    private static final long MAX_DISORDER_MICROS = 500_000;

    private static final long NONE = Long.MAX_VALUE;

    private final List<Rejection> ownerRejections = new ArrayList<>();

    private final List<Rejection> hostRejections = new ArrayList<>();

    private final Set<String> startedTasks = new HashSet<>();

    private final Set<String> endedRuns = new HashSet<>();

    private String queue = "";

    private String dataCentre = "";

    private long statedWorkCoreMillis;

    private long statedTasks;

    private long submittedMicros = NONE;

    private long startedMicros = NONE;

    private long endedMicros = NONE;

    private End end;

    void addSubmission(long micros) {
        submittedMicros = Math.min(submittedMicros, micros);
    }

    void addStart(long micros, String task) {
        startedMicros = Math.min(startedMicros, micros);
        if (statedTasks == 0) {
            startedTasks.add(task);
        }
    }

    void addEnd(long micros, End kind) {
        if (micros < endedMicros) {
            endedMicros = micros;
            end = kind;
        }
    }

    /** Returns whether the end of a run was not yet known; a successor may log an end that its predecessor has logged. */
    boolean addRunEnd(String run) {
        return endedRuns.add(run);
    }

    void addOwnerRejection(Rejection rejection) {
        ownerRejections.add(rejection);
    }

    void addHostRejection(Rejection rejection) {
        hostRejections.add(rejection);
    }

    void setQueue(String name) {
        queue = name;
    }

    /** Sets the data centre of the host that took a request for the job, if none is known yet or the job was accepted. */
    void setDataCentre(String name, boolean accepted) {
        if (accepted || dataCentre.isEmpty()) {
            dataCentre = name;
        }
    }

    void setSize(long workCoreMillis, long tasks) {
        statedWorkCoreMillis = Math.max(statedWorkCoreMillis, workCoreMillis);
        statedTasks = Math.max(statedTasks, tasks);
    }

    String queue() {
        return queue;
    }

    String dataCentre() {
        return dataCentre;
    }

    long workCoreMillis() {
        return statedWorkCoreMillis;
    }

    long tasks() {
        return statedTasks > 0 ? statedTasks : startedTasks.size();
    }

    OptionalLong submittedMicros() {
        return optional(submittedMicros);
    }

    OptionalLong startedMicros() {
        return optional(startedMicros);
    }

    OptionalLong endedMicros() {
        return optional(endedMicros);
    }

    /** Returns how the job ended, or null if no end was logged. */
    End end() {
        return end;
    }

    /**
     * Returns all rejections. An owner's rejection and the answer that a host gave because of it are one: it has the
     * owner's reason and the host's data centre.
     */
    List<Rejection> rejections() {
        List<Rejection> unmatched = new ArrayList<>(hostRejections);
        List<Rejection> all = new ArrayList<>();
        for (Rejection rejection : ownerRejections) {
            Rejection answer = unmatched.stream()
                    .filter(each -> each.micros() >= rejection.micros() - MAX_DISORDER_MICROS
                            && each.micros() <= rejection.micros() + MAX_ANSWER_DELAY_MICROS)
                    .findFirst()
                    .orElse(null);
            unmatched.remove(answer);
            all.add(
                    answer == null
                            ? rejection
                            : new Rejection(rejection.micros(), answer.dataCentre(), rejection.reason()));
        }
        all.addAll(unmatched);
        return all;
    }

    private static OptionalLong optional(long micros) {
        return micros == NONE ? OptionalLong.empty() : OptionalLong.of(micros);
    }
}
