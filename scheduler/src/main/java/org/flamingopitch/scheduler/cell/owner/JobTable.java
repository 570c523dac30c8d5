package org.flamingopitch.scheduler.cell.owner;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.flamingopitch.scheduler.cell.model.JobId;
import org.flamingopitch.scheduler.cell.model.TaskRef;

/** The jobs of a cell by their id, open ones and ended ones whose state is still kept. */
final class JobTable {

    private final Map<JobId, Job> jobs = new LinkedHashMap<>();

    Job job(JobId id) {
        return jobs.get(id);
    }

    void add(Job job) {
        jobs.put(job.id(), job);
    }

    void remove(Job job) {
        jobs.remove(job.id());
    }

    Collection<Job> all() {
        return jobs.values();
    }

    List<Job> open() {
        List<Job> open = new ArrayList<>();
        for (Job job : jobs.values()) {
            if (job.open()) {
                open.add(job);
            }
        }
        return open;
    }

    Task task(TaskRef ref) {
        Job job = jobs.get(ref.job());
        return job == null ? null : job.task(ref);
    }

    /**
     * Restores a job from its stored records, and its open runs on the workers where they were started.
     *
     * @param progress the stored parts of its progress
     */
    static Job restore(
            JobId id,
            JobRecord record,
            Map<Integer, ProgressRecord> progress,
            WorkerRegistry workerRegistry,
            Instant now,
            long timeOfDayMillis) {
        Instant submittedAt = now.minusMillis(Math.max(0, timeOfDayMillis - record.submittedMillis()));
        Job job = new Job(id, record.queue(), record.spec(), submittedAt, record.submittedMillis());
        job.markDefinitionStored();
        progress.forEach((part, partRecord) -> {
            job.markPartStored(part);
            for (TaskRecord taskRecord : partRecord.tasks()) {
                Task task = job.task(new TaskRef(id, taskRecord.occurrence(), taskRecord.step(), taskRecord.index()));
                if (task != null && belongs(task, part, progress)) {
                    restoreTask(job, task, taskRecord, workerRegistry, now);
                }
            }
        });
        if (progress.containsKey(0) && progress.get(0).end() != null) {
            job.end(progress.get(0).end(), now);
            job.markEndStateDurable();
        }
        return job;
    }

    /**
     * Returns whether a part holds the valid record of a task. Earlier versions stored the tasks of all parts in the
     * first one, which holds until the task's own part is stored.
     */
    private static boolean belongs(Task task, int part, Map<Integer, ProgressRecord> progress) {
        int ownPart = task.job().partOf(task.ref());
        if (ownPart == part) {
            return true;
        }
        boolean valid = !progress.containsKey(ownPart);
        if (valid) {
            task.job().markMisplaced(ownPart);
        }
        return valid;
    }

    private static void restoreTask(Job job, Task task, TaskRecord record, WorkerRegistry workerRegistry, Instant now) {
        job.markStartedByFormerOwner();
        task.restoreLastRunNumber(record.run());
        record.failedRuns().forEach(task::restoreFailure);
        record.crashedRuns().forEach(number -> task.addCrash(number, true));
        record.possiblyCrashedRuns().forEach(number -> task.addCrash(number, false));
        task.updateCheckpoint(record.checkpoint());
        if (record.showsBegin()) {
            job.markBegun();
        }
        if (record.done()) {
            task.markDone();
            task.step().incrementDoneCount();
            return;
        }
        if (record.earlier() != null) {
            restoreRun(task, record.earlier(), workerRegistry, now);
        }
        if (record.worker() != null) {
            TaskRecord.OpenRun last =
                    new TaskRecord.OpenRun(record.run(), record.worker(), record.address(), record.incarnation());
            restoreRun(task, last, workerRegistry, now);
        }
    }

    private static void restoreRun(Task task, TaskRecord.OpenRun open, WorkerRegistry workerRegistry, Instant now) {
        WorkerState worker = workerRegistry.worker(open.worker());
        worker.restoreAddress(open.address());
        Run run = task.restoreRun(worker, open.run(), now);
        run.restoreWorkerIncarnation(open.incarnation());
        worker.add(run);
    }
}
