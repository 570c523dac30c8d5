package org.flamingopitch.scheduler.cell.owner;

import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.scheduler.cell.model.JobId;

/** Records that are committed in one transaction, or one by one after the store has rejected it. */
final class CommitBatch {

    /** The records that are not committed yet. */
    private final List<PendingRecord> records = new ArrayList<>();

    private final List<Job> jobs = new ArrayList<>();

    /** The jobs whose end is among the records. */
    private final List<Job> endedJobs = new ArrayList<>();

    /** The changes whose last records are in the batch. */
    private final List<JobChange> completed = new ArrayList<>();

    private long firstSequence = Long.MAX_VALUE;

    private boolean oneByOne;

    private String commitMarker;

    /**
     * Adds a change of which records are in the batch.
     *
     * @param complete whether its last records are in the batch
     * @param withState whether the state of the job is in the batch
     */
    void addChange(JobChange change, boolean complete, boolean withState) {
        jobs.add(change.job());
        firstSequence = Math.min(firstSequence, change.firstSequence());
        if (withState && !change.job().open()) {
            endedJobs.add(change.job());
        }
        if (complete) {
            completed.add(change);
        }
    }

    void addRecords(List<PendingRecord> added) {
        records.addAll(added);
    }

    /** Returns the sequence number of the first change. */
    long firstSequence() {
        return firstSequence;
    }

    boolean contains(JobId id) {
        return jobs.stream().anyMatch(job -> job.id().equals(id));
    }

    boolean contains(Job job) {
        return jobs.contains(job);
    }

    /** Returns the marker of the transaction that was sent last. */
    String commitMarker() {
        return commitMarker;
    }

    void setCommitMarker(String marker) {
        commitMarker = marker;
    }

    /** Sends the remaining records in a transaction each. */
    void sendOneByOne() {
        oneByOne = true;
    }

    /** Returns the records of the next transaction. */
    List<PendingRecord> nextRecords() {
        return oneByOne ? records.subList(0, Math.min(1, records.size())) : records;
    }

    /** Removes the records of the last transaction, which was committed. */
    void markCommitted() {
        List<PendingRecord> next = nextRecords();
        for (PendingRecord record : next) {
            if (record.change() != null) {
                record.change().onCommitted(record.key());
            }
        }
        next.clear();
    }

    /** Returns whether no record is left to be committed. */
    boolean committed() {
        return records.isEmpty();
    }

    /** Removes the records of a change, or with null the learned statistics. */
    void drop(JobChange change) {
        records.removeIf(record -> record.change() == change);
        completed.remove(change);
        if (change != null) {
            jobs.remove(change.job());
            endedJobs.remove(change.job());
        }
    }

    /** Marks the ends of jobs as durable and runs the actions that wait for the changes. */
    void finish() {
        endedJobs.forEach(Job::markEndStateDurable);
        completed.forEach(JobChange::runDurableActions);
    }
}
