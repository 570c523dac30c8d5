package org.flamingopitch.scheduler.cell.owner;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * The records of a job that are to be committed, with the state that the job has when they are sent. They may take
 * several transactions. The first part of the progress precedes the later ones: it tells that later parts exist and
 * whether the job has ended, after which their records omit what those of an open job contain.
 */
final class JobChange {

    private long firstSequence;

    private final List<Runnable> whenDurable = new ArrayList<>();

    /** The parts of the progress that are to be written. */
    private final BitSet parts = new BitSet();

    private Job job;

    private boolean urgent;

    private boolean deletion;

    private boolean definitionMoved;

    JobChange(Job job, long firstSequence) {
        this.job = job;
        this.firstSequence = firstSequence;
    }

    Job job() {
        return job;
    }

    /** Returns the sequence number of the first change. */
    long firstSequence() {
        return firstSequence;
    }

    /** Takes the place of an earlier change whose records are not stored. */
    void supersede(JobChange earlier) {
        firstSequence = Math.min(firstSequence, earlier.firstSequence);
    }

    boolean urgent() {
        return urgent;
    }

    void markUrgent() {
        urgent = true;
    }

    /** Adds an action that is to run when all records are durable. */
    void onDurable(Runnable action) {
        whenDurable.add(action);
    }

    void runDurableActions() {
        whenDurable.forEach(Runnable::run);
    }

    /** Adds a job's definition, if it is not stored, and its state. */
    void addState(Job written) {
        if (written != job) {
            replaceJob(written);
        }
        deletion = false;
        parts.set(0);
        addDependentParts();
    }

    /** Adds the record of a task. */
    void addTask(Task task) {
        int part = job.partOf(task.ref());
        parts.set(part);
        if (part > 0 && !job.laterPartsUsed()) {
            job.markLaterPartsUsed();
            parts.set(0);
        }
        addDependentParts();
    }

    /** Turns the change into the deletion of all records of the job. */
    void delete() {
        deletion = true;
    }

    /** Handles a job that was submitted before the records of a former job with the same id were deleted. */
    private void replaceJob(Job next) {
        BitSet stored = job.storedParts();
        stored.stream().forEach(next::markPartStored);
        parts.or(stored);
        job = next;
    }

    private void addDependentParts() {
        parts.or(job.misplacedParts());
        if (!job.open()) {
            parts.set(0);
            parts.or(job.storedParts());
        }
    }

    /** Returns whether the job's state is still to be written. */
    boolean statePending() {
        return !deletion && parts.get(0);
    }

    /** Moves records to a transaction, until it is full; the definition of a new job goes first. */
    Moved moveTo(TransactionBuilder transaction) {
        int recordsBefore = transaction.records().size();
        boolean all = deletion
                ? moveDeletions(transaction)
                : moveDefinition(transaction) && moveMisplacedParts(transaction) && moveParts(transaction);
        if (all) {
            return Moved.ALL;
        }
        return transaction.records().size() == recordsBefore ? Moved.NONE : Moved.PART;
    }

    /** Deletes the definition last, so that a successor finds the records that remain. */
    private boolean moveDeletions(TransactionBuilder transaction) {
        BitSet stored = job.storedParts();
        for (int part = stored.nextSetBit(1); part >= 0; part = stored.nextSetBit(part + 1)) {
            if (!movePartDeletion(part, transaction)) {
                return false;
            }
        }
        return transaction.delete(this, CellKeys.job(job.id()), CellKeys.progress(job.id()));
    }

    private boolean moveDefinition(TransactionBuilder transaction) {
        if (!job.definitionStored() && !definitionMoved) {
            JobRecord record = new JobRecord(job.queue(), job.submittedMillis(), job.spec());
            definitionMoved = transaction.write(this, CellKeys.job(job.id()), record);
            return definitionMoved;
        }
        return true;
    }

    /** Writes parts that the stored first part contains, before it is replaced by a record without them. */
    private boolean moveMisplacedParts(TransactionBuilder transaction) {
        BitSet misplaced = job.misplacedParts();
        for (int part = misplaced.nextSetBit(0); part >= 0; part = misplaced.nextSetBit(part + 1)) {
            if (!movePart(part, transaction)) {
                return false;
            }
        }
        return true;
    }

    private boolean moveParts(TransactionBuilder transaction) {
        for (int part = parts.nextSetBit(0); part >= 0; part = parts.nextSetBit(part + 1)) {
            if (!movePart(part, transaction)) {
                return false;
            }
        }
        return true;
    }

    private boolean movePart(int part, TransactionBuilder transaction) {
        ProgressRecord record = ProgressRecord.of(job, part);
        boolean moved = true;
        if (!record.empty() || part == 0 && job.definitionStored()) {
            moved = transaction.write(this, CellKeys.progress(job.id(), part), record);
            if (moved) {
                job.markPartStored(part);
            }
        } else if (job.partStored(part)) {
            moved = movePartDeletion(part, transaction);
        }
        if (moved) {
            parts.clear(part);
            job.markPlaced(part);
        }
        return moved;
    }

    private boolean movePartDeletion(int part, TransactionBuilder transaction) {
        boolean moved = transaction.delete(this, CellKeys.progress(job.id(), part));
        if (moved) {
            job.markPartDeleted(part);
        }
        return moved;
    }

    /** Takes note that the record under a key was committed. */
    void onCommitted(String key) {
        if (key.equals(CellKeys.job(job.id()))) {
            job.markDefinitionStored();
        }
    }

    /** How many of the remaining records of a change were moved to a transaction. */
    enum Moved {
        NONE,
        PART,
        ALL
    }
}
