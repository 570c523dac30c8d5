package org.flamingopitch.scheduler.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.loop.TimerQueue;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.model.WorkerSpec;
import org.flamingopitch.scheduler.worker.WorkerRequest;
import org.flamingopitch.scheduler.worker.WorkerResult;

/** Collects the effects of an event, runs due timers, and passes the result of each call to its handler. */
final class EffectContext implements NodeContext {

    private final ProcessId self;

    private final RandomGenerator random;

    private final TimerQueue timers = new TimerQueue();

    private final Map<Long, Consumer<KeyValueResult>> keyValueCalls = new HashMap<>();

    private final Map<Long, Consumer<WorkerResult>> workerCalls = new HashMap<>();

    private List<NodeEffect> effects = new ArrayList<>();

    private Instant now = Instant.EPOCH;

    private long lastCallNumber;

    EffectContext(ProcessId self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    void advanceTo(Instant newNow) {
        if (newNow.isAfter(now)) {
            now = newNow;
        }
        timers.runDue(now);
    }

    List<NodeEffect> takeEffects() {
        List<NodeEffect> taken = effects;
        effects = new ArrayList<>();
        return taken;
    }

    void emit(NodeEffect effect) {
        effects.add(effect);
    }

    void completeKeyValueCall(long call, KeyValueResult result) {
        Consumer<KeyValueResult> handler = keyValueCalls.remove(call);
        if (handler != null) {
            handler.accept(result);
        }
    }

    void completeWorkerCall(long call, WorkerResult result) {
        Consumer<WorkerResult> handler = workerCalls.remove(call);
        if (handler != null) {
            handler.accept(result);
        }
    }

    @Override
    public Instant now() {
        return now;
    }

    @Override
    public ProcessId self() {
        return self;
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    @Override
    public void schedule(Duration delay, Runnable action) {
        timers.add(now.plus(delay), action);
    }

    @Override
    public void callStore(KeyValueRequest request, Consumer<KeyValueResult> handler) {
        lastCallNumber++;
        keyValueCalls.put(lastCallNumber, handler);
        emit(new NodeEffect.CallKeyValue(lastCallNumber, request));
    }

    @Override
    public void call(WorkerSpec worker, WorkerRequest request, Instant notAfter, Consumer<WorkerResult> handler) {
        lastCallNumber++;
        workerCalls.put(lastCallNumber, handler);
        emit(new NodeEffect.CallWorker(lastCallNumber, worker, request, notAfter));
    }

    @Override
    public void release(WorkerSpec worker) {
        emit(new NodeEffect.ReleaseWorker(worker.name()));
    }

    @Override
    public void send(ProcessId to, PeerMessage message) {
        emit(new NodeEffect.SendPeer(to, message));
    }

    @Override
    public void audit(AuditType type, String subject, String detail) {
        emit(new NodeEffect.RecordAudit(new AuditEvent(type, subject, detail)));
    }
}
