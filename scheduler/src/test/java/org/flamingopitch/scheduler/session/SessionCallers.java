package org.flamingopitch.scheduler.session;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.model.Outcome;
import org.flamingopitch.scheduler.model.Reason;
import org.flamingopitch.scheduler.node.CallerAnswer;
import org.flamingopitch.scheduler.node.CallerRequest;
import org.flamingopitch.scheduler.node.NodeEffect;
import org.flamingopitch.scheduler.node.NodeEvent;

/** The simulated callers and their load balancer; a failed or cut try is repeated at the next process. */
final class SessionCallers {

    /** Time until the load balancer stops sending requests to a process that shuts down. */
    private static final Duration BALANCER_UPDATE_DELAY = Duration.ofSeconds(1);

    private static final int MAX_TRIES = 3;

    private final Map<Long, CallRecord> openCalls = new HashMap<>();

    private final Map<Long, Integer> processByCaller = new HashMap<>();

    private final Session session;

    private final SessionTimeline time;

    private final SessionLog log;

    private final InjectedDefect defect;

    private long lastCaller;

    private int races;

    SessionCallers(Session session, SessionTimeline time, SessionLog log, InjectedDefect defect) {
        this.session = session;
        this.time = time;
        this.log = log;
        this.defect = defect;
    }

    /** Schedules a request; it is retried at the next process if it is not run or its connection is cut. */
    void scheduleCall(Duration sinceStart, int process, CallRecord call) {
        time.schedule(Duration.between(time.now(), Session.START.plus(sinceStart)), () -> send(call, process));
    }

    void propose(int process, long expected, String operator) {
        String document = JsonCodec.json().encode(session.configuration());
        CallRecord call = new CallRecord(operator, new CallerRequest.ProposeConfig(document, expected, operator), "");
        send(call, process);
    }

    /** Proposes a configuration through the first and the last process, both based on the same version. */
    void raceOperators() {
        races++;
        long expected = log.highestAcceptedVersion();
        propose(0, expected, "racer-a" + races);
        propose(session.processes().size() - 1, expected, "racer-b" + races);
    }

    /** Sends a request to a process, or to the next one if the load balancer knows that it is shutting down. */
    private void send(CallRecord call, int requestedProcess) {
        call.countTry();
        int process = requestedProcess;
        while (log.drainingSince(session.processes().get(process).id())
                .isBefore(time.now().minus(BALANCER_UPDATE_DELAY))) {
            process = (process + 1) % session.processes().size();
        }
        sendTo(call, process);
    }

    private void sendTo(CallRecord call, int process) {
        SimProcess target = session.processes().get(process);
        if (!target.alive()) {
            call.recordReply(time.now(), null);
            log.recordCutOff(time.now(), call.name(), target);
            retry(call, process);
            return;
        }
        lastCaller++;
        long caller = lastCaller;
        openCalls.put(caller, call);
        processByCaller.put(caller, process);
        log.calls().add(call);
        Runnable cut = () -> {
            openCalls.remove(caller);
            call.recordReply(time.now(), null);
            retry(call, process);
        };
        time.scheduleDelivery(
                StepType.CALLER_REQUEST,
                process,
                "",
                Duration.ofMillis(1),
                cut,
                () -> session.deliver(target, new NodeEvent.CallerAsked(caller, call.request())));
    }

    void receiveAnswer(NodeEffect.AnswerCaller answer) {
        CallRecord call = openCalls.remove(answer.caller());
        if (call == null) {
            return;
        }
        call.recordReply(time.now(), reportedAnswer(answer.answer()));
        log.recordAnswer(time.now(), call.name(), answer.answer());
        if (isRetryable(answer.answer())) {
            retry(call, processByCaller.get(answer.caller()));
        }
    }

    private CallerAnswer reportedAnswer(CallerAnswer answer) {
        boolean hideUnknown = defect == InjectedDefect.UNKNOWN_REPORTED_AS_NOT_RUN
                && answer instanceof CallerAnswer.RunAnswer run
                && run.outcome() instanceof Outcome.Unknown;
        return hideUnknown
                ? new CallerAnswer.RunAnswer(Outcome.notRun(Reason.NO_CAPACITY, "injected defect", "none"))
                : answer;
    }

    private static boolean isRetryable(CallerAnswer answer) {
        String text = answer.toString();
        return text.contains("NotRun") || text.contains("Refused") || text.contains("Undecided");
    }

    void cutConnection(long caller) {
        CallRecord call = openCalls.remove(caller);
        if (call != null) {
            call.recordReply(time.now(), null);
            retry(call, processByCaller.get(caller));
        }
    }

    void cutConnections(int process) {
        for (Map.Entry<Long, CallRecord> entry : List.copyOf(openCalls.entrySet())) {
            if (processByCaller.get(entry.getKey()) == process) {
                openCalls.remove(entry.getKey());
                entry.getValue().recordReply(time.now(), null);
                log.recordCutOff(
                        time.now(), entry.getValue().name(), session.processes().get(process));
                retry(entry.getValue(), process);
            }
        }
    }

    private void retry(CallRecord call, int process) {
        if (call.tries() < MAX_TRIES) {
            time.schedule(
                    Duration.ofMillis(400),
                    () -> send(call, (process + 1) % session.processes().size()));
        }
    }
}
