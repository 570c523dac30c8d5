package org.flamingopitch.daemon.analysis;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.flamingopitch.scheduler.cell.model.EndKind;

/** Collects what log records say about jobs, runs and workers. */
final class LogEvents {

    /** What happened to a run. */
    enum RunEventType {
        /** The owner ordered a worker to start it. */
        START,
        /** A worker reported its end. */
        END,
        /** The owner decided to stop it. */
        STOP
    }

    /**
     * An event of a run.
     *
     * @param type what happened
     * @param micros when
     * @param job the run's job
     * @param detail the worker of a start, the kind of an end, the cause of a stop
     */
    record RunEvent(RunEventType type, long micros, JobHistory job, String detail) {}

    /** A job's id is 16 hexadecimal digits; a shorter one was cut off. */
    private static final Pattern JOB_ID = Pattern.compile("[0-9a-f]{16}");

    private static final Pattern TASK_ID = Pattern.compile("([0-9a-f]{16})\\.\\d+\\.\\d+\\.\\d+");

    private static final Pattern REFUSED_REPLY = Pattern.compile("Refused\\[retryAfter=[^,]*, reason=(.*)]");

    private static final Pattern FORWARDED_SUBMISSION =
            Pattern.compile("Submit\\[id=([0-9a-f]{16}), queue=QueueSpec\\[name=([^,\\]]+).*");

    /** The reason that a host tells the caller if the owner's reason is {@code backlog}. */
    private static final String BACKLOG_REPLY = "too much work waits";

    private static final String DATA_CENTRE_FIELD = "data_centre";

    private final Map<String, JobHistory> jobs = new HashMap<>();

    private final List<RunEvent> runEvents = new ArrayList<>();

    private final Map<String, String> workerDataCentres = new HashMap<>();

    private final Map<String, List<String>> workerLabels = new HashMap<>();

    private final Map<String, String> strings = new HashMap<>();

    private final Pattern dataCentreOfHost;

    private OptionalLong prefixOffsetMicros = OptionalLong.empty();

    private long droppedRecords;

    private long firstMicros = Long.MAX_VALUE;

    private long lastMicros = Long.MIN_VALUE;

    /**
     * Creates an empty collection.
     *
     * @param dataCentreOfHost matches a host's name; its first group is the data centre
     */
    LogEvents(Pattern dataCentreOfHost) {
        this.dataCentreOfHost = dataCentreOfHost;
    }

    /**
     * Adds a record.
     *
     * @param entry the record
     * @param host the host that logged it
     * @return whether the record has all values that its event needs
     */
    boolean add(LogRecord entry, String host) {
        long micros = micros(entry);
        firstMicros = Math.min(firstMicros, micros);
        lastMicros = Math.max(lastMicros, micros);
        return switch (entry.event()) {
            case "submitted" -> addSubmission(entry, micros);
            case "refused" -> addOwnerRejection(entry, micros);
            case "accepted" -> addAcceptance(entry, host);
            case "not_served" -> addUnserved(entry, micros, host);
            case "forward_unanswered" -> addUnansweredForward(entry, host);
            case "job_done" -> addJobEnd(entry, micros, JobHistory.End.DONE);
            case "job_failed" -> addJobEnd(entry, micros, JobHistory.End.FAILED);
            case "cancelled" -> addJobEnd(entry, micros, JobHistory.End.CANCELLED);
            case "start" -> addRunEvent(RunEventType.START, entry, micros, entry.field("worker"));
            case "end" -> addRunEnd(entry, micros);
            case "stalled", "displaced", "preempted" -> addRunEvent(RunEventType.STOP, entry, micros, entry.event());
            case "evacuated" -> addRunEvent(RunEventType.STOP, entry, micros, evacuationCause(entry));
            case "worker_entry" -> addWorker(entry);
            case "log_dropped" -> addDroppedRecords(entry);
            default -> true;
        };
    }

    /** Returns the time of a record on the scale of the first number before {@code time=}, if there is one. */
    private long micros(LogRecord entry) {
        long instantMicros = ChronoUnit.MICROS.between(Instant.EPOCH, entry.instant());
        if (entry.prefixMicros().isEmpty()) {
            return instantMicros;
        }
        if (prefixOffsetMicros.isEmpty()) {
            prefixOffsetMicros = OptionalLong.of(entry.prefixMicros().getAsLong() - instantMicros);
        }
        return entry.prefixMicros().getAsLong() - prefixOffsetMicros.getAsLong();
    }

    private JobHistory job(String id) {
        return JOB_ID.matcher(id).matches() ? jobs.computeIfAbsent(id, key -> new JobHistory()) : null;
    }

    private boolean addSubmission(LogRecord entry, long micros) {
        JobHistory job = job(entry.field("job"));
        if (job == null || entry.field("queue").isEmpty()) {
            return false;
        }
        job.setQueue(intern(entry.field("queue")));
        job.setSize(number(entry.field("work_core_ms")), number(entry.field("tasks")));
        job.addSubmission(micros);
        return true;
    }

    private boolean addOwnerRejection(LogRecord entry, long micros) {
        JobHistory job = job(entry.field("job"));
        if (job == null || entry.field("reason").isEmpty()) {
            return false;
        }
        if (!entry.field("queue").isEmpty()) {
            job.setQueue(intern(entry.field("queue")));
        }
        job.setSize(number(entry.field("work_core_ms")), number(entry.field("tasks")));
        job.addOwnerRejection(new JobHistory.Rejection(micros, "", intern(entry.field("reason"))));
        return true;
    }

    private boolean addAcceptance(LogRecord entry, String host) {
        JobHistory job = job(entry.field("job"));
        if (job == null) {
            return false;
        }
        job.setDataCentre(dataCentre(host), true);
        if (!entry.field("queue").isEmpty()) {
            job.setQueue(intern(entry.field("queue")));
        }
        return true;
    }

    private boolean addUnserved(LogRecord entry, long micros, String host) {
        JobHistory job = job(entry.field("job"));
        if (job == null || entry.field("reply").isEmpty()) {
            return false;
        }
        if (!entry.field("request").equals("Submit")) {
            return true;
        }
        String dataCentre = dataCentre(host);
        job.setDataCentre(dataCentre, false);
        Matcher reply = REFUSED_REPLY.matcher(entry.field("reply"));
        if (reply.matches()) {
            String reason = reply.group(1).equals(BACKLOG_REPLY) ? "backlog" : reply.group(1);
            job.addHostRejection(new JobHistory.Rejection(micros, dataCentre, intern(reason)));
        }
        return true;
    }

    private boolean addUnansweredForward(LogRecord entry, String host) {
        Matcher submission = FORWARDED_SUBMISSION.matcher(entry.field("request"));
        if (submission.matches()) {
            JobHistory job = job(submission.group(1));
            job.setDataCentre(dataCentre(host), false);
            job.setQueue(intern(submission.group(2)));
        }
        return true;
    }

    private boolean addJobEnd(LogRecord entry, long micros, JobHistory.End end) {
        JobHistory job = job(entry.field("job"));
        if (job == null) {
            return false;
        }
        job.addEnd(micros, end);
        return true;
    }

    private boolean addRunEnd(LogRecord entry, long micros) {
        String kind = entry.field("kind");
        Matcher task = TASK_ID.matcher(entry.field("task"));
        boolean known = false;
        for (EndKind each : EndKind.values()) {
            known |= each.name().equals(kind);
        }
        if (!known || !task.matches()) {
            return false;
        }
        if (!job(task.group(1)).addRunEnd(entry.field("task").substring(task.end(1)) + "/" + entry.field("run"))) {
            return true;
        }
        return addRunEvent(RunEventType.END, entry, micros, kind);
    }

    private boolean addRunEvent(RunEventType type, LogRecord entry, long micros, String detail) {
        Matcher task = TASK_ID.matcher(entry.field("task"));
        if (!task.matches() || detail.isEmpty()) {
            return false;
        }
        JobHistory job = job(task.group(1));
        if (type == RunEventType.START) {
            job.addStart(micros, entry.field("task").substring(task.end(1)));
        }
        runEvents.add(new RunEvent(type, micros, job, intern(detail)));
        return true;
    }

    private static String evacuationCause(LogRecord entry) {
        return entry.field("reason").isEmpty() ? entry.event() : entry.event() + " (" + entry.field("reason") + ")";
    }

    private boolean addWorker(LogRecord entry) {
        String worker = intern(entry.field("worker"));
        if (worker.isEmpty()) {
            return false;
        }
        if (!entry.field(DATA_CENTRE_FIELD).isEmpty()) {
            workerDataCentres.put(worker, intern(entry.field(DATA_CENTRE_FIELD)));
        }
        if (!entry.field("labels").isEmpty()) {
            workerLabels.put(worker, List.of(entry.field("labels").split(",")));
        }
        return true;
    }

    private boolean addDroppedRecords(LogRecord entry) {
        droppedRecords += number(entry.field("count"));
        return true;
    }

    /** Returns the place of each worker for which it is known: its data centre and rack, separated by a slash. */
    Map<String, String> workerPlaces() {
        Map<String, Long> labelCounts = workerLabels.values().stream()
                .flatMap(List::stream)
                .collect(Collectors.groupingBy(label -> label, Collectors.counting()));
        Map<String, String> places = new TreeMap<>(workerDataCentres);
        for (String worker : new TreeSet<>(workerLabels.keySet())) {
            List<String> labels = workerLabels.get(worker);
            if (labels.size() > 1) {
                // Of a worker's labels, the rack's is the one that fewer workers have; the kind is shared by most.
                String rack = labels.get(0);
                for (String label : labels) {
                    rack = labelCounts.get(label) < labelCounts.get(rack) ? label : rack;
                }
                places.put(worker, workerDataCentres.getOrDefault(worker, "unknown") + "/" + rack);
            }
        }
        return places;
    }

    private String dataCentre(String host) {
        Matcher matcher = dataCentreOfHost.matcher(host);
        return intern(matcher.matches() && matcher.groupCount() > 0 ? matcher.group(1) : host);
    }

    /** Returns one instance for equal texts, since the same few names occur in most records. */
    private String intern(String text) {
        return strings.computeIfAbsent(text, key -> key);
    }

    private static long number(String text) {
        try {
            return text.isEmpty() ? 0 : Math.round(Double.parseDouble(text));
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    Iterable<JobHistory> jobs() {
        return jobs.values();
    }

    List<RunEvent> runEvents() {
        return runEvents;
    }

    OptionalLong prefixOffsetMicros() {
        return prefixOffsetMicros;
    }

    /** Returns how many records the hosts did not write because their output was blocked. */
    long droppedRecords() {
        return droppedRecords;
    }

    boolean isEmpty() {
        return lastMicros < firstMicros;
    }

    long firstMicros() {
        return firstMicros;
    }

    long lastMicros() {
        return lastMicros;
    }
}
