package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What workers saw of each task: starts, ends, and when an end was taken note of. */
final class Ledger {

    private final Record record;

    private final Map<String, List<Entry>> entries = new LinkedHashMap<>();

    private final Map<String, Long> lastLapse = new LinkedHashMap<>();

    Ledger(Record record) {
        this.record = record;
    }

    synchronized void started(String task, int run, String worker, String spec) {
        add(task, run, "start", worker);
        record.line("run: start %s run %d on %s (%s)", task, run, worker,
                spec.length() > 40 ? spec.substring(spec.length() - 20) : spec);
    }

    synchronized void ended(String task, int run, String how, String worker) {
        add(task, run, how, worker);
        record.line("run: end %s run %d on %s: %s", task, run, worker, how);
    }

    synchronized void noted(String task, int run, String how, String worker) {
        add(task, run, "noted " + how, worker);
    }

    synchronized void lost(String task, int run) {
        add(task, run, "lost", "");
    }

    synchronized void lapsed(String worker) {
        lastLapse.put(worker, record.now());
    }

    private void add(String task, int run, String what, String worker) {
        entries.computeIfAbsent(task, key -> new ArrayList<>()).add(new Entry(record.now(), run, what, worker));
    }

    synchronized List<String> tasks() {
        return List.copyOf(entries.keySet());
    }

    synchronized List<Entry> of(String task) {
        return List.copyOf(entries.getOrDefault(task, List.of()));
    }

    synchronized int count(String what) {
        return (int) entries.values().stream().flatMap(List::stream).filter(entry -> entry.what().equals(what)).count();
    }

    /** Returns how many tasks of a job have an entry of this kind. */
    synchronized int tasksOf(String job, String what) {
        return (int) entries.entrySet().stream()
                .filter(each -> each.getKey().startsWith(job + "."))
                .filter(each -> each.getValue().stream().anyMatch(entry -> entry.what().equals(what)))
                .count();
    }

    /**
     * Returns the starts that break TWICE: a start after a run has ended done, if that end is taken note of then or
     * later. An end that was listed when the worker's lease lapsed is left out.
     */
    synchronized List<String> startsAfterDone() {
        List<String> broken = new ArrayList<>();
        entries.forEach((task, list) -> {
            for (Entry done : list) {
                if (!done.what().equals("done") || lastLapse.getOrDefault(done.worker(), -1L) >= done.at()) {
                    continue;
                }
                boolean noted = list.stream().anyMatch(each ->
                        each.what().equals("noted done") && each.run() == done.run());
                for (Entry start : list) {
                    if (noted && start.what().equals("start") && start.at() > done.at()) {
                        broken.add(task + ": run " + done.run() + " done at " + done.at() + " on " + done.worker()
                                + " and noted, run " + start.run() + " started at " + start.at() + " on "
                                + start.worker());
                    }
                }
            }
        });
        return broken;
    }

    record Entry(long at, int run, String what, String worker) {}
}
