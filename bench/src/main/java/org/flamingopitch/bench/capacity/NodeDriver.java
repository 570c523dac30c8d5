package org.flamingopitch.bench.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingopitch.bench.takeover.InMemoryKeyValueStore;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.scheduler.model.Configuration;
import org.flamingopitch.scheduler.model.Payload;
import org.flamingopitch.scheduler.model.Resources;
import org.flamingopitch.scheduler.model.WorkerId;
import org.flamingopitch.scheduler.node.CallerRequest;
import org.flamingopitch.scheduler.node.NodeEffect;
import org.flamingopitch.scheduler.node.NodeEvent;
import org.flamingopitch.scheduler.node.NodeSettings;
import org.flamingopitch.scheduler.node.SchedulerNode;
import org.flamingopitch.scheduler.worker.TaskPhase;
import org.flamingopitch.scheduler.worker.TaskReport;
import org.flamingopitch.scheduler.worker.UsageReport;
import org.flamingopitch.scheduler.worker.WorkerRequest;
import org.flamingopitch.scheduler.worker.WorkerResult;

/**
 * Runs one scheduler node against a simulated store and simulated workers that answer immediately, on a manual clock.
 */
final class NodeDriver {

    private static final Duration TICK_INTERVAL = Duration.ofMillis(10);

    private final InMemoryKeyValueStore store = new InMemoryKeyValueStore();

    private final SchedulerNode node;

    private final Deque<NodeEvent> pendingEvents = new ArrayDeque<>();

    private final Map<WorkerId, List<TaskReport>> tasksByWorker = new HashMap<>();

    private Instant now = Instant.parse("2026-01-05T06:00:00Z");

    private long pendingWatchCall = -1;

    private long workerCallCount;

    private long reportedTaskCount;

    private long answerCount;

    private long lastCallerId;

    NodeDriver(Configuration configuration, String dataCentre, String region) {
        Member self = new Member(new ProcessId("bench.1"), dataCentre, region, "127.0.0.1:1", false);
        node = new SchedulerNode(
                NodeSettings.defaults(self, 1), text -> JsonCodec.json().decode(text, Configuration.class));
        execute(node.start(now));
        String document = JsonCodec.json().encode(configuration);
        sendRequest(new CallerRequest.ProposeConfig(document, 0, "bench"));
    }

    void sendRequest(CallerRequest request) {
        lastCallerId++;
        apply(new NodeEvent.CallerAsked(lastCallerId, request));
    }

    /** Advances the clock by a duration, in ticks of the same interval as the daemon's. */
    void advance(Duration duration) {
        for (Duration elapsed = Duration.ZERO; elapsed.compareTo(duration) < 0; elapsed = elapsed.plus(TICK_INTERVAL)) {
            now = now.plus(TICK_INTERVAL);
            store.advance(TICK_INTERVAL);
            store.model().expire(now);
            answerWatch();
            apply(new NodeEvent.Tick());
        }
    }

    long workerCallCount() {
        return workerCallCount;
    }

    long reportedTaskCount() {
        return reportedTaskCount;
    }

    long answerCount() {
        return answerCount;
    }

    SchedulerNode node() {
        return node;
    }

    InMemoryKeyValueStore store() {
        return store;
    }

    private void apply(NodeEvent event) {
        pendingEvents.add(event);
        while (!pendingEvents.isEmpty()) {
            execute(node.apply(now, pendingEvents.poll()));
        }
    }

    private void execute(List<NodeEffect> effects) {
        effects.forEach(this::execute);
    }

    private void execute(NodeEffect effect) {
        if (effect instanceof NodeEffect.CallWorker call) {
            workerCallCount++;
            pendingEvents.add(new NodeEvent.WorkerAnswered(call.call(), createWorkerResult(call)));
        } else if (effect instanceof NodeEffect.CallKeyValue call) {
            executeStoreCall(call);
        } else if (effect instanceof NodeEffect.AnswerCaller) {
            answerCount++;
        }
    }

    private void executeStoreCall(NodeEffect.CallKeyValue call) {
        if (call.request() instanceof KeyValueRequest.Watch) {
            pendingWatchCall = call.call();
            return;
        }
        if (call.request() instanceof KeyValueRequest.GrantLease grant) {
            String lease = store.model().grant(now, grant.timeToLive());
            pendingEvents.add(new NodeEvent.KeyValueAnswered(call.call(), new KeyValueResult.Leased(lease)));
            return;
        }
        if (call.request() instanceof KeyValueRequest.RenewLease renew) {
            store.model().renew(now, renew.leaseId());
            pendingEvents.add(new NodeEvent.KeyValueAnswered(call.call(), new KeyValueResult.Leased(renew.leaseId())));
            return;
        }
        store.callStore(
                call.request(), result -> pendingEvents.add(new NodeEvent.KeyValueAnswered(call.call(), result)));
    }

    private void answerWatch() {
        if (pendingWatchCall < 0) {
            return;
        }
        long call = pendingWatchCall;
        pendingWatchCall = -1;
        KeyValueRequest.ListPrefix list = new KeyValueRequest.ListPrefix("flamingopitch/followed/");
        store.callStore(list, result -> apply(new NodeEvent.KeyValueAnswered(call, result)));
    }

    private WorkerResult createWorkerResult(NodeEffect.CallWorker call) {
        WorkerId worker = call.worker().name();
        if (call.request() instanceof WorkerRequest.Execute) {
            return new WorkerResult.Executed(Payload.ofText("{\"answer\":1}"));
        }
        if (call.request() instanceof WorkerRequest.StartTask start) {
            tasksByWorker
                    .computeIfAbsent(worker, each -> new ArrayList<>())
                    .add(new TaskReport(
                            start.task(), start.kind(), start.size(), TaskPhase.RUNNING, "", Payload.EMPTY));
            return new WorkerResult.TaskStarted();
        }
        List<TaskReport> reported = tasksByWorker.getOrDefault(worker, List.of());
        reportedTaskCount += reported.size();
        return new WorkerResult.Reported(
                List.copyOf(reported), List.of(), 2, new UsageReport(Resources.NONE, Duration.ofSeconds(1)));
    }
}
