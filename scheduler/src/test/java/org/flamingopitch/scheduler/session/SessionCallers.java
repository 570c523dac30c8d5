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

/** The callers: they ask, get answers, and try again elsewhere when their connection is cut. */
final class SessionCallers {

    private static final Duration BALANCER_LAG = Duration.ofSeconds(1);

    private static final int MAX_TRIES = 3;

    private final Map<Long, CallRecord> openCalls = new HashMap<>();

    private final Map<Long, Integer> callProcess = new HashMap<>();

    private final Session session;

    private final SessionTimeline time;

    private final SessionLog log;

    private final Sabotage sabotage;

    private long lastCaller;

    private int races;

    SessionCallers(Session session, SessionTimeline time, SessionLog log, Sabotage sabotage) {
        this.session = session;
        this.time = time;
        this.log = log;
        this.sabotage = sabotage;
    }

    /** Lets a caller ask; it tries again elsewhere if its connection is cut. */
    void call(Duration sinceStart, int process, CallRecord call) {
        time.schedule(Duration.between(time.now(), Session.START.plus(sinceStart)), () -> send(call, process));
    }

    void propose(int process, long expected, String who) {
        String document = JsonCodec.json().encode(session.configuration());
        CallRecord call = new CallRecord(who, new CallerRequest.ProposeConfig(document, expected, who), "");
        send(call, process);
    }

    void raceOperators() {
        races++;
        long expected = log.highestAcceptedVersion();
        propose(0, expected, "racer-a" + races);
        propose(session.processes().size() - 1, expected, "racer-b" + races);
    }

    /** Sends a request as the platform's balancer does: not to a process that has been shutting down for a while. */
    private void send(CallRecord call, int asked) {
        call.tried();
        int process = asked;
        while (log.drainingSince(session.processes().get(process).id())
                .isBefore(time.now().minus(BALANCER_LAG))) {
            process = (process + 1) % session.processes().size();
        }
        sendTo(call, process);
    }

    private void sendTo(CallRecord call, int process) {
        SimProcess target = session.processes().get(process);
        if (!target.alive()) {
            call.answered(time.now(), null);
            log.cutOff(time.now(), call.name(), target);
            retry(call, process);
            return;
        }
        lastCaller++;
        long caller = lastCaller;
        openCalls.put(caller, call);
        callProcess.put(caller, process);
        log.calls().add(call);
        Runnable cut = () -> {
            openCalls.remove(caller);
            call.answered(time.now(), null);
            retry(call, process);
        };
        time.step(
                StepType.CALLER_REQUEST,
                process,
                "",
                Duration.ofMillis(1),
                cut,
                () -> session.deliver(target, new NodeEvent.CallerAsked(caller, call.request())));
    }

    void answered(NodeEffect.AnswerCaller answer) {
        CallRecord call = openCalls.remove(answer.caller());
        if (call == null) {
            return;
        }
        call.answered(time.now(), told(answer.answer()));
        log.answer(time.now(), call.name(), answer.answer());
        if (retryable(answer.answer())) {
            retry(call, callProcess.get(answer.caller()));
        }
    }

    private CallerAnswer told(CallerAnswer answer) {
        boolean lie = sabotage == Sabotage.UNKNOWN_TOLD_AS_NOT_RUN
                && answer instanceof CallerAnswer.RunAnswer run
                && run.outcome() instanceof Outcome.Unknown;
        return lie ? new CallerAnswer.RunAnswer(Outcome.notRun(Reason.NO_CAPACITY, "sabotage", "none")) : answer;
    }

    private static boolean retryable(CallerAnswer answer) {
        String text = answer.toString();
        return text.contains("NotRun") || text.contains("Refused") || text.contains("Undecided");
    }

    void cutCaller(long caller) {
        CallRecord call = openCalls.remove(caller);
        if (call != null) {
            call.answered(time.now(), null);
            retry(call, callProcess.get(caller));
        }
    }

    void cutCallers(int process) {
        for (Map.Entry<Long, CallRecord> entry : List.copyOf(openCalls.entrySet())) {
            if (callProcess.get(entry.getKey()) == process) {
                openCalls.remove(entry.getKey());
                entry.getValue().answered(time.now(), null);
                log.cutOff(
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
