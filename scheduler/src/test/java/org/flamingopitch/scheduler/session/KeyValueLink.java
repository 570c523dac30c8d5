package org.flamingopitch.scheduler.session;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.node.NodeEffect;
import org.flamingopitch.scheduler.node.NodeEvent;

/** The connection between the entry hosts and the simulated key-value service, with its outages and delays. */
final class KeyValueLink {

    private static final Duration STORE_CALL_TIMEOUT = Duration.ofMillis(700);

    private final List<StoreAnswer> openAnswers = new ArrayList<>();

    private final SimStore store = new SimStore();

    private final Session session;

    private final SessionTimeline time;

    private final SessionLog log;

    private final InjectedDefect defect;

    private Instant storeDownUntil = Instant.EPOCH;

    private Instant storeSlowUntil = Instant.EPOCH;

    private Duration storeAnswerDelay = Duration.ZERO;

    private Instant answersLostUntil = Instant.EPOCH;

    private int answersLostToProcess = -1;

    KeyValueLink(Session session, SessionTimeline time, SessionLog log, InjectedDefect defect) {
        this.session = session;
        this.time = time;
        this.log = log;
        this.defect = defect;
    }

    SimStore store() {
        return store;
    }

    void stopStore(Duration duration) {
        storeDownUntil = time.now().plus(duration);
        log.extendDisturbance(time.now().plus(duration));
        store.dropWatches();
        log.recordNote(time.now(), "store down");
        for (SimProcess process : session.processes()) {
            time.schedule(Duration.ofMillis(2), () -> refuseOpenCalls(process));
        }
    }

    void slowStore(Duration duration, Duration delay) {
        storeSlowUntil = time.now().plus(duration);
        log.extendDisturbance(time.now().plus(duration));
        storeAnswerDelay = delay;
        log.recordNote(time.now(), "store slow");
    }

    void loseStoreAnswers(int process, Duration duration) {
        answersLostToProcess = process;
        answersLostUntil = time.now().plus(duration);
        log.recordNote(time.now(), "store answers lost");
    }

    void tickStore() {
        if (time.now().isAfter(storeDownUntil)) {
            store.tick(time.now());
        }
        time.schedule(Session.TICK, this::tickStore);
    }

    void callStore(SimProcess process, NodeEffect.CallKeyValue call) {
        boolean watch = call.request() instanceof KeyValueRequest.Watch;
        Duration latency = latencyToStore(process);
        StoreAnswer answer = new StoreAnswer(process, call.call());
        if (!watch) {
            time.schedule(STORE_CALL_TIMEOUT, answer::timeOut);
        } else {
            time.schedule(((KeyValueRequest.Watch) call.request()).maxWait().plus(STORE_CALL_TIMEOUT), answer::timeOut);
        }
        openAnswers.add(answer);
        time.scheduleDelivery(
                StepType.STORE_CALL,
                session.indexOf(process),
                "",
                latency,
                answer::refuse,
                () -> deliverToStore(process, call, answer));
    }

    private void refuseOpenCalls(SimProcess process) {
        for (StoreAnswer answer : List.copyOf(openAnswers)) {
            if (answer.process == process) {
                answer.refuse();
            }
        }
    }

    private void deliverToStore(SimProcess process, NodeEffect.CallKeyValue call, StoreAnswer answer) {
        if (time.now().isBefore(storeDownUntil)) {
            time.schedule(Duration.ofMillis(2), answer::refuse);
            return;
        }
        if (isCutFromStore(process, true)) {
            return;
        }
        if (defect == InjectedDefect.JOURNAL_WRITES_DROPPED && isJournalWrite(call.request())) {
            sendAnswer(process, new KeyValueResult.Written(1), answer);
            return;
        }
        boolean changesWithheld = defect == InjectedDefect.KEY_CHANGES_WITHHELD
                && session.indexOf(process) == session.processes().size() - 1;
        boolean readsFollowedKeys =
                call.request() instanceof KeyValueRequest.Watch || call.request() instanceof KeyValueRequest.ListPrefix;
        if (changesWithheld && readsFollowedKeys) {
            return;
        }
        store.call(time.now(), call.request(), result -> sendAnswer(process, result, answer));
    }

    private static boolean isJournalWrite(KeyValueRequest request) {
        return request instanceof KeyValueRequest.Put put
                && put.key().contains("/segment/")
                && !put.value().contains("fence");
    }

    private void sendAnswer(SimProcess process, KeyValueResult result, StoreAnswer answer) {
        boolean lost = time.now().isBefore(answersLostUntil) && answersLostToProcess == session.indexOf(process);
        if (lost || isCutFromStore(process, false)) {
            return;
        }
        Duration delay = time.now().isBefore(storeSlowUntil) ? storeAnswerDelay : Duration.ZERO;
        Duration latency = latencyToStore(process).plus(delay);
        time.scheduleDelivery(
                StepType.STORE_ANSWER, session.indexOf(process), "", latency, () -> {}, () -> answer.arrive(result));
    }

    private boolean isCutFromStore(SimProcess process, boolean towardsStore) {
        boolean far = !process.member().region().equals(session.configuration().homeRegion());
        return far && session.isCutFromHome(towardsStore);
    }

    private Duration latencyToStore(SimProcess process) {
        return Duration.ofMillis(
                process.member().region().equals(session.configuration().homeRegion()) ? 2 : 31);
    }

    /** The answer to one call; refusals and time-outs after it has arrived are ignored. */
    private final class StoreAnswer {

        private final SimProcess process;

        private final long call;

        private boolean ended;

        private StoreAnswer(SimProcess process, long call) {
            this.process = process;
            this.call = call;
        }

        private void arrive(KeyValueResult result) {
            openAnswers.remove(this);
            ended = true;
            session.deliver(process, new NodeEvent.KeyValueAnswered(call, result));
        }

        private void refuse() {
            if (!ended) {
                arrive(new KeyValueResult.Failed(Session.failure("kv.connect", "store", "connection refused")));
            }
        }

        private void timeOut() {
            if (!ended) {
                arrive(new KeyValueResult.Failed(Session.failure("kv.wait", "store", "no answer in time")));
            }
        }
    }
}
