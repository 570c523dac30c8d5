package org.flamingopitch.scheduler.session;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.node.NodeEffect;
import org.flamingopitch.scheduler.node.NodeEvent;

/** The way between entry hosts and the key-value service, with its outages. */
final class SessionStore {

    private static final Duration STORE_TIMEOUT = Duration.ofMillis(700);

    private final List<StoreAnswer> storeAnswers = new ArrayList<>();

    private final SimStore store = new SimStore();

    private final Session session;

    private final SessionTimeline time;

    private final SessionLog log;

    private final Sabotage sabotage;

    private Instant storeDownUntil = Instant.EPOCH;

    private Instant storeSlowUntil = Instant.EPOCH;

    private Duration storeDelay = Duration.ZERO;

    private Instant loseAnswersUntil = Instant.EPOCH;

    private int loseAnswersOf = -1;

    SessionStore(Session session, SessionTimeline time, SessionLog log, Sabotage sabotage) {
        this.session = session;
        this.time = time;
        this.log = log;
        this.sabotage = sabotage;
    }

    SimStore store() {
        return store;
    }

    void storeDown(Duration duration) {
        storeDownUntil = time.now().plus(duration);
        log.disturbed(time.now().plus(duration));
        store.dropWatches();
        log.note(time.now(), "store down");
        for (SimProcess process : session.processes()) {
            time.schedule(Duration.ofMillis(2), () -> failWatches(process));
        }
    }

    void storeSlow(Duration duration, Duration delay) {
        storeSlowUntil = time.now().plus(duration);
        log.disturbed(time.now().plus(duration));
        storeDelay = delay;
        log.note(time.now(), "store slow");
    }

    void loseStoreAnswers(int process, Duration duration) {
        loseAnswersOf = process;
        loseAnswersUntil = time.now().plus(duration);
        log.note(time.now(), "store answers lost");
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
            time.schedule(STORE_TIMEOUT, answer::timeOut);
        } else {
            time.schedule(((KeyValueRequest.Watch) call.request()).maxWait().plus(STORE_TIMEOUT), answer::timeOut);
        }
        storeAnswers.add(answer);
        time.step(
                StepType.STORE_CALL,
                session.index(process),
                "",
                latency,
                answer::refuse,
                () -> storeReceives(process, call, answer));
    }

    private void failWatches(SimProcess process) {
        for (StoreAnswer answer : List.copyOf(storeAnswers)) {
            if (answer.process == process) {
                answer.refuse();
            }
        }
    }

    private void storeReceives(SimProcess process, NodeEffect.CallKeyValue call, StoreAnswer answer) {
        if (time.now().isBefore(storeDownUntil)) {
            time.schedule(Duration.ofMillis(2), answer::refuse);
            return;
        }
        if (cutFromStore(process, true)) {
            return;
        }
        if (sabotage == Sabotage.FORGETFUL_JOURNAL && journalWrite(call.request())) {
            answerFromStore(process, new KeyValueResult.Written(1), answer);
            return;
        }
        boolean hidden = sabotage == Sabotage.HIDDEN_CHANGES
                && session.index(process) == session.processes().size() - 1;
        boolean follows =
                call.request() instanceof KeyValueRequest.Watch || call.request() instanceof KeyValueRequest.ListPrefix;
        if (hidden && follows) {
            return;
        }
        store.call(time.now(), call.request(), result -> answerFromStore(process, result, answer));
    }

    private static boolean journalWrite(KeyValueRequest request) {
        return request instanceof KeyValueRequest.Put put
                && put.key().contains("/segment/")
                && !put.value().contains("fence");
    }

    private void answerFromStore(SimProcess process, KeyValueResult result, StoreAnswer answer) {
        boolean lost = time.now().isBefore(loseAnswersUntil) && loseAnswersOf == session.index(process);
        if (lost || cutFromStore(process, false)) {
            return;
        }
        Duration delay = time.now().isBefore(storeSlowUntil) ? storeDelay : Duration.ZERO;
        Duration latency = latencyToStore(process).plus(delay);
        time.step(StepType.STORE_ANSWER, session.index(process), "", latency, () -> {}, () -> answer.arrive(result));
    }

    private boolean cutFromStore(SimProcess process, boolean towardsStore) {
        boolean far = !process.member().region().equals(session.configuration().homeRegion());
        return far && session.cutFromHome(towardsStore);
    }

    private Duration latencyToStore(SimProcess process) {
        return Duration.ofMillis(
                process.member().region().equals(session.configuration().homeRegion()) ? 2 : 31);
    }

    private final class StoreAnswer {

        private final SimProcess process;

        private final long call;

        private boolean ended;

        private StoreAnswer(SimProcess process, long call) {
            this.process = process;
            this.call = call;
        }

        private void arrive(KeyValueResult result) {
            storeAnswers.remove(this);
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
