package org.flamingopitch.scheduler.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import org.flamingopitch.scheduler.cell.entry.CallerOperation;
import org.flamingopitch.scheduler.cell.entry.CallerReply;
import org.flamingopitch.scheduler.cell.model.EndKind;
import org.flamingopitch.scheduler.cell.model.JobSpec;
import org.flamingopitch.scheduler.cell.model.JobState;
import org.flamingopitch.scheduler.cell.model.RunEnd;
import org.flamingopitch.scheduler.cell.model.StepSpec;
import org.flamingopitch.scheduler.cell.model.StepSpecBuilder;
import org.flamingopitch.scheduler.cell.model.TaskRef;
import org.flamingopitch.scheduler.model.Resources;
import org.junit.jupiter.api.Test;

/**
 * Tests drawn sessions in which workers, idle or at work, start again under their ids, with another label, at another
 * address, or at one that another worker has left.
 */
final class WorkerRestartsSessionTest {

    private static final int SEEDS = Integer.getInteger("workerRestarts.seeds", 100);

    private static final long FIRST_SEED = Long.getLong("workerRestarts.seed", 1);

    private static final int WORKERS = 6;

    private static final int LABELS = 2;

    private static final int EVENTS = 40;

    private static final Duration STEP = Duration.ofMillis(20);

    /** The entries are listed each 800 ms; before that the owner cannot know that an idle worker has started again. */
    private static final Duration LISTING_DELAY = Duration.ofMillis(900);

    /** The platform gives an address to another worker no earlier than this. */
    private static final Duration ADDRESS_REUSE_DELAY = Duration.ofSeconds(2);

    /** How long runs on a life that has ended may keep their tasks from being started elsewhere. */
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(20);

    @Test
    void restartedWorkersGetOnlyWhatTheyAreFitForAndNothingThatIsDoneRunsAgain() {
        assertThat(FailingSeeds.of(FIRST_SEED, SEEDS, seed -> new Session(seed).play()))
                .as("failures by seed")
                .isEmpty();
    }

    /** Only ends as failed count as attempts of a task, and no run of these sessions ends so. */
    @Test
    void noJobIsGivenUpBecauseItsWorkersStartAgain() {
        assertThat(FailingSeeds.of(FIRST_SEED, SEEDS, seed -> {
                    Session session = new Session(seed);
                    session.play();
                    return session.givenUp;
                }))
                .as("jobs that were given up by seed")
                .isEmpty();
    }

    private static final class Session {

        private final SplittableRandom random;

        private final CellSession cell = new CellSession();

        private final Map<String, List<CallerReply>> replies = new LinkedHashMap<>();

        private final Map<String, String> labels = new HashMap<>();

        private final Map<FakeWorker, String> racks = new LinkedHashMap<>();

        private final Map<FakeWorker, Duration> restartedAt = new HashMap<>();

        /** The number of starts of each worker that have been checked. */
        private final Map<FakeWorker, Integer> checkedStarts = new HashMap<>();

        private final Map<FakeWorker, List<RunEnd>> ends = new HashMap<>();

        /** The tasks whose successful end a worker has forgotten because it was acknowledged. */
        private final Set<TaskRef> acknowledged = new HashSet<>();

        private final Set<String> failures = new TreeSet<>();

        /** The jobs that are shown as failed. */
        private final Set<String> givenUp = new TreeSet<>();

        /** The addresses that no worker has any more, in the order in which they were left, with the time. */
        private final Map<String, Duration> leftAddresses = new LinkedHashMap<>();

        private Duration time = Duration.ZERO;

        private Session(long seed) {
            random = new SplittableRandom(seed);
            for (int i = 0; i < WORKERS; i++) {
                FakeWorker worker = cell.addWorker("w" + i, 4_000);
                worker.setRack(label(i));
                worker.setDurations((task, run) -> 100 + 300L * task.index());
                racks.put(worker, label(i));
                ends.put(worker, List.of());
            }
            cell.addHost("h1");
            cell.advance(Duration.ofSeconds(3));
        }

        private static String label(int number) {
            return "r" + number % LABELS;
        }

        private Set<String> play() {
            for (int i = 0; i < EVENTS; i++) {
                int event = random.nextInt(10);
                if (event < 3) {
                    restart(List.copyOf(racks.keySet()).get(random.nextInt(WORKERS)));
                } else if (event < 8) {
                    submit();
                } else {
                    String worker = "w" + random.nextInt(WORKERS);
                    cell.partitions().setReportLatency(worker, Duration.ofMillis(3 + random.nextInt(1_500)));
                }
                advance(Duration.ofMillis(random.nextInt(random.nextInt(3) == 0 ? 4_000 : 400)));
            }
            advance(RECOVERY_TIME);
            checkAllEnded();
            return failures;
        }

        private void restart(FakeWorker worker) {
            recordEnds();
            if (random.nextBoolean()) {
                racks.put(worker, label(random.nextInt(LABELS)));
                worker.setRack(racks.get(worker));
            }
            if (random.nextInt(3) == 0) {
                String former = worker.address();
                worker.restartAt(
                        reusableAddress().filter(any -> random.nextBoolean()).orElse("a" + time.toMillis() + ":1"));
                leftAddresses.remove(worker.address());
                leftAddresses.put(former, time);
            } else {
                worker.restart();
            }
            restartedAt.put(worker, time);
            ends.put(worker, List.of());
        }

        private Optional<String> reusableAddress() {
            return leftAddresses.entrySet().stream()
                    .filter(left -> time.compareTo(left.getValue().plus(ADDRESS_REUSE_DELAY)) >= 0)
                    .map(Map.Entry::getKey)
                    .findFirst();
        }

        private void submit() {
            String job = String.format("%016x", replies.size());
            labels.put(job, label(random.nextInt(LABELS)));
            StepSpec step = new StepSpecBuilder()
                    .count(1 + random.nextInt(6))
                    .demand(new Resources(1_000, 100, 0))
                    .estimateMillis(500)
                    .requiredLabel(labels.get(job))
                    .build();
            JobSpec spec = new JobSpec("work", List.of(step), 0, 0, 0);
            replies.put(job, cell.call("h1", new CallerOperation.Submit(spec), "/q/" + job));
        }

        private void advance(Duration period) {
            for (Duration end = time.plus(period); time.compareTo(end) < 0; time = time.plus(STEP)) {
                cell.advance(STEP);
                recordEnds();
                checkStarts();
                checkSecondRuns();
            }
        }

        private void recordEnds() {
            ends.replaceAll((worker, before) -> {
                List<RunEnd> now = List.copyOf(worker.ended());
                before.stream()
                        .filter(end -> end.kind() == EndKind.DONE && !now.contains(end))
                        .forEach(end -> acknowledged.add(end.task()));
                return now;
            });
        }

        private void checkStarts() {
            racks.forEach((worker, rack) -> {
                List<String> started = worker.started();
                for (String run : started.subList(checkedStarts.getOrDefault(worker, 0), started.size())) {
                    TaskRef task = TaskRef.parse(run.substring(0, run.indexOf('/')));
                    if (acknowledged.contains(task)) {
                        failures.add(run + " starts after the end of the task was acknowledged");
                    }
                    boolean known = restartedAt
                                    .getOrDefault(worker, LISTING_DELAY.negated())
                                    .plus(LISTING_DELAY)
                                    .compareTo(time)
                            < 0;
                    if (known && !rack.equals(labels.get(task.job().value()))) {
                        failures.add(run + " starts on " + worker.name() + " without its label");
                    }
                }
                checkedStarts.put(worker, started.size());
            });
        }

        private void checkSecondRuns() {
            Set<TaskRef> running = new HashSet<>();
            for (FakeWorker worker : racks.keySet()) {
                for (TaskRef task : worker.running()) {
                    if (!running.add(task)) {
                        failures.add(task + " runs twice");
                    }
                }
            }
        }

        private void checkAllEnded() {
            replies.forEach((job, reply) -> {
                boolean accepted = reply.equals(List.of(new CallerReply.Done()));
                boolean anyWorker = racks.containsValue(labels.get(job));
                List<CallerReply> state = cell.call("h1", new CallerOperation.Ask(), "/q/" + job);
                cell.advance(STEP);
                boolean ended = state.stream()
                        .anyMatch(each -> each instanceof CallerReply.State shown
                                && shown.state().terminal());
                if (state.contains(new CallerReply.State(JobState.FAILED))) {
                    givenUp.add(job);
                }
                if (accepted && anyWorker && !ended) {
                    failures.add(job + " has not ended: " + state);
                }
            });
        }
    }
}
