package org.flamingopitch.scheduler.session;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.config.ConfigOutcome;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.node.AuditEvent;
import org.flamingopitch.scheduler.node.AuditType;
import org.flamingopitch.scheduler.node.CallerAnswer;
import org.flamingopitch.scheduler.node.NodeEffect;
import org.flamingopitch.scheduler.node.NodeEvent;
import org.flamingopitch.scheduler.worker.WorkerRequest;

/** The record of a session: trace lines for the approved files and data for {@link SessionCheck}. */
final class SessionLog {

    private static final double NANOS_PER_SECOND = 1e9;

    private static final int MAX_LINE_LENGTH = 240;

    private final List<String> lines = new ArrayList<>();

    private final List<Step> steps = new ArrayList<>();

    private final Set<CallRecord> calls = new LinkedHashSet<>();

    private final Map<String, Instant> leavingSince = new HashMap<>();

    private final Map<ProcessId, List<TimedVersion>> configVersions = new HashMap<>();

    private final List<TimedVersion> acceptedVersions = new ArrayList<>();

    private final Set<ProcessId> exited = new HashSet<>();

    private Instant disturbedUntil = Session.START;

    private final List<String> cutOffByDrain = new ArrayList<>();

    private final Map<ProcessId, Instant> drainingSince = new HashMap<>();

    List<String> lines() {
        return lines;
    }

    List<Step> steps() {
        return steps;
    }

    Set<CallRecord> calls() {
        return calls;
    }

    Map<String, Instant> leavingSince() {
        return leavingSince;
    }

    Map<ProcessId, List<TimedVersion>> configVersions() {
        return configVersions;
    }

    List<TimedVersion> acceptedVersions() {
        return acceptedVersions;
    }

    List<String> cutOffByDrain() {
        return cutOffByDrain;
    }

    long highestAcceptedVersion() {
        return acceptedVersions.stream().mapToLong(TimedVersion::version).max().orElse(0);
    }

    void recordStep(Step step) {
        steps.add(step);
    }

    void recordEvent(Instant at, ProcessId process, NodeEvent event) {
        if (isRecorded(event)) {
            addLine(at, process + " <- " + event);
        }
    }

    void recordEffect(Instant at, ProcessId process, NodeEffect effect) {
        if (isRecorded(effect)) {
            addLine(at, process + " -> " + effect);
        }
    }

    void recordAudit(Instant at, ProcessId process, AuditEvent event) {
        if (event.type() == AuditType.CONFIG_IN_FORCE) {
            long version = Long.parseLong(event.detail().substring("version=".length()));
            configVersions.computeIfAbsent(process, id -> new ArrayList<>()).add(new TimedVersion(at, version));
        }
    }

    void recordNote(Instant at, String text) {
        addLine(at, "** " + text);
    }

    void recordLeaving(Instant at, String worker) {
        leavingSince.put(worker, at);
        recordNote(at, "leaving " + worker);
    }

    void recordDrain(Instant at, ProcessId process) {
        drainingSince.putIfAbsent(process, at);
        recordNote(at, "drain " + process);
    }

    void recordExit(ProcessId process) {
        exited.add(process);
    }

    /** Records that a fault has effects until the given time. */
    void extendDisturbance(Instant until) {
        if (until.isAfter(disturbedUntil)) {
            disturbedUntil = until;
        }
    }

    Instant disturbedUntil() {
        return disturbedUntil;
    }

    Instant drainingSince(ProcessId process) {
        return drainingSince.getOrDefault(process, Instant.MAX);
    }

    void recordAnswer(Instant at, String call, CallerAnswer answer) {
        if (answer instanceof CallerAnswer.ConfigAnswered config
                && config.outcome() instanceof ConfigOutcome.Accepted accepted) {
            acceptedVersions.add(new TimedVersion(at, accepted.version()));
        }
        addLine(at, call + " <- " + answer);
    }

    void recordCutOff(Instant at, String call, SimProcess process) {
        addLine(at, call + " <- connection cut by " + process.id());
        if (exited.contains(process.id())) {
            cutOffByDrain.add(call);
        }
    }

    private static boolean isRecorded(NodeEvent event) {
        if (event instanceof NodeEvent.PeerReceived received) {
            return isRecorded(received.message());
        }
        return event instanceof NodeEvent.CallerAsked
                || event instanceof NodeEvent.PeerGone
                || event instanceof NodeEvent.PeerLost
                || event instanceof NodeEvent.DrainAsked;
    }

    private static boolean isRecorded(NodeEffect effect) {
        if (effect instanceof NodeEffect.CallWorker call) {
            return !(call.request() instanceof WorkerRequest.Report);
        }
        if (effect instanceof NodeEffect.CallKeyValue call) {
            return call.request() instanceof KeyValueRequest.Put;
        }
        if (effect instanceof NodeEffect.SendPeer send) {
            return isRecorded(send.message());
        }
        return effect instanceof NodeEffect.RecordAudit || effect instanceof NodeEffect.Drained;
    }

    private static boolean isRecorded(PeerMessage message) {
        return !(message instanceof PeerMessage.TellLoad
                || message instanceof PeerMessage.Introduce
                || message instanceof PeerMessage.Welcome
                || message instanceof PeerMessage.QueryTasks
                || message instanceof PeerMessage.AskPromise
                || message instanceof PeerMessage.AnswerPromise);
    }

    private void addLine(Instant at, String text) {
        double seconds = Duration.between(Session.START, at).toNanos() / NANOS_PER_SECOND;
        String shortened = text.length() > MAX_LINE_LENGTH ? text.substring(0, MAX_LINE_LENGTH) + "…" : text;
        lines.add(String.format("+%07.3f %s", seconds, shortened.replace("\n", "⏎")));
    }

    /**
     * A version of the configuration and a time.
     *
     * @param at when it was accepted or came into force
     * @param version the version
     */
    record TimedVersion(Instant at, long version) {}
}
