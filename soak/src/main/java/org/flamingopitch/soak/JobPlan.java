package org.flamingopitch.soak;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A job as its caller hands it in. Its steps run one after the other.
 *
 * @param id its identifier
 * @param behaviour how its runs end
 * @param taskMillis how long a run of a task takes, unless it lasts
 * @param steps its steps in their order
 */
record JobPlan(JobId id, TaskBehaviour behaviour, int taskMillis, List<Step> steps) {

    private static final int MEMORY_MB = 200;

    static JobPlan draw(SplittableRandom random) {
        int kind = random.nextInt(20);
        TaskBehaviour behaviour = kind == 0
                ? TaskBehaviour.LASTS
                : kind == 1 ? TaskBehaviour.FAILS : kind < 5 ? TaskBehaviour.FLAKY : TaskBehaviour.SUCCEEDS;
        int stepCount = behaviour == TaskBehaviour.LASTS ? 1 : random.nextInt(1, 4);
        List<Step> steps = new ArrayList<>();
        for (int i = 0; i < stepCount; i++) {
            steps.add(new Step(random.nextInt(1, 4), random.nextInt(5, 16) * 100));
        }
        return new JobPlan(JobId.next(random), behaviour, random.nextInt(100, 900), List.copyOf(steps));
    }

    static TaskBehaviour behaviourOf(String spec) {
        return TaskBehaviour.valueOf(spec.split(" ")[1]);
    }

    static int taskMillisOf(String spec) {
        return Integer.parseInt(spec.split(" ")[2]);
    }

    String spec() {
        return "soak " + behaviour + " " + taskMillis;
    }

    boolean lasts() {
        return behaviour == TaskBehaviour.LASTS;
    }

    boolean contains(TaskId task) {
        return task.step() < steps.size()
                && task.index() < steps.get(task.step()).count();
    }

    List<TaskId> tasksOfStep(int step) {
        List<TaskId> tasks = new ArrayList<>();
        for (int index = 0; index < steps.get(step).count(); index++) {
            tasks.add(TaskId.of(id, step, index));
        }
        return tasks;
    }

    List<TaskId> tasks() {
        List<TaskId> tasks = new ArrayList<>();
        for (int step = 0; step < steps.size(); step++) {
            tasks.addAll(tasksOfStep(step));
        }
        return tasks;
    }

    String body() {
        ObjectNode job = Json.object().put("spec", spec());
        ArrayNode list = job.putArray("steps");
        for (int i = 0; i < steps.size(); i++) {
            ObjectNode step = list.addObject()
                    .put("count", steps.get(i).count())
                    .put("cpu", steps.get(i).cpu())
                    .put("memMb", MEMORY_MB)
                    .put("estimatedMs", taskMillis);
            if (i > 0) {
                step.putArray("after").add(i - 1);
            }
            if (lasts()) {
                step.put("longRunning", true);
            }
        }
        return job.toString();
    }

    /**
     * A step of a job.
     *
     * @param count how many tasks it has
     * @param cpu the processor time that each of its tasks needs, in thousandths of a core
     */
    record Step(int count, int cpu) {}
}
