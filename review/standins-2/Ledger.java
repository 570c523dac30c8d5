import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Records what was sent, answered and run, and checks the rules on runs. */
final class Ledger {

    private final PrintWriter out;

    /** The runs of each task in the order of their starts. */
    private final Map<String, List<Run>> runs = new LinkedHashMap<>();

    Ledger(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String format, Object... values) {
        out.printf("%8d ms  %s%n", Clock.millis(), String.format(format, values));
        out.flush();
    }

    synchronized void started(String task, long number, String worker, long born) {
        runs.computeIfAbsent(task, key -> new ArrayList<>()).add(new Run(number, worker, born));
        line("run %s/%d starts on %s (born %d)", task, number, worker, born);
    }

    synchronized void ended(String task, long number, String worker, long born, long end, String how) {
        Run run = find(task, number, worker, born);
        run.endedAt = Clock.millis();
        run.end = end;
        run.how = how;
        line("run %s/%d ends on %s (born %d) as number %d: %s", task, number, worker, born, end, how);
    }

    synchronized void lostWithWorker(String task, long number, String worker, long born) {
        Run run = find(task, number, worker, born);
        run.endedAt = Clock.millis();
        run.how = "lost";
    }

    /** A worker was told that its ends up to a number have been seen. */
    synchronized void seen(String worker, long born, long lastSeen) {
        for (List<Run> each : runs.values()) {
            for (Run run : each) {
                if (run.worker.equals(worker) && run.born == born && run.end > 0 && run.end <= lastSeen) {
                    run.seen = true;
                }
            }
        }
    }

    /**
     * Returns the lapses that break the rule AVAIL: those of a job's tasks from a time on at which no disruption is near,
     * while as many others as may be away have ended by such a lapse and do not run.
     */
    synchronized List<String> unavailable(String job, int maxUnavailable, long calmFrom) {
        List<String> broken = new ArrayList<>();
        runs.forEach((task, each) -> {
            for (Run run : each) {
                if (!task.startsWith(job) || !"lapsed".equals(run.how) || run.endedAt < calmFrom) {
                    continue;
                }
                long away = runs.keySet().stream()
                        .filter(other -> other.startsWith(job) && !other.equals(task))
                        .filter(other -> awayByLapse(runs.get(other), run.endedAt, calmFrom))
                        .count();
                if (away >= maxUnavailable) {
                    broken.add(String.format(
                            "AVAIL: the lease of %s/%d on %s lapses at %d ms while %d others of its step are away",
                            task, run.number, run.worker, run.endedAt, away));
                }
            }
        });
        return broken;
    }

    private static boolean awayByLapse(List<Run> each, long moment, long calmFrom) {
        boolean away = false;
        for (Run run : each) {
            if (run.startedAt <= moment) {
                away = "lapsed".equals(run.how) && run.endedAt <= moment && run.endedAt >= calmFrom;
            }
        }
        return away;
    }

    private Run find(String task, long number, String worker, long born) {
        for (Run run : runs.get(task)) {
            if (run.number == number && run.worker.equals(worker) && run.born == born) {
                return run;
            }
        }
        throw new IllegalStateException("unknown run " + task + "/" + number);
    }

    synchronized long starts() {
        return runs.values().stream().mapToLong(List::size).sum();
    }

    synchronized int starts(String task) {
        return runs.getOrDefault(task, List.of()).size();
    }

    synchronized long ends(String how) {
        return runs.values().stream().flatMap(List::stream).filter(run -> how.equals(run.how)).count();
    }

    /** Returns the tasks that break the rule TWICE. */
    synchronized List<String> startedTwice() {
        List<String> broken = new ArrayList<>();
        runs.forEach((task, each) -> {
            for (int i = 0; i < each.size(); i++) {
                for (int j = i + 1; j < each.size(); j++) {
                    Run first = each.get(i);
                    Run second = each.get(j);
                    boolean atTheSameTime = second.startedAt < first.endedAt;
                    boolean afterDone = first.seen && "done".equals(first.how);
                    if (atTheSameTime || afterDone) {
                        broken.add(String.format(
                                "%s: run %d on %s (born %d) %d-%d ms %s, run %d on %s (born %d) from %d ms on%s",
                                task, first.number, first.worker, first.born, first.startedAt, first.endedAt, first.how,
                                second.number, second.worker, second.born, second.startedAt,
                                atTheSameTime ? ", at the same time" : ", after the end was taken note of"));
                    }
                }
            }
        });
        return broken;
    }

    private static final class Run {

        private final long number;

        private final String worker;

        private final long born;

        private final long startedAt = Clock.millis();

        private long endedAt = Long.MAX_VALUE;

        private long end;

        private String how;

        private boolean seen;

        private Run(long number, String worker, long born) {
            this.number = number;
            this.worker = worker;
            this.born = born;
        }
    }
}
