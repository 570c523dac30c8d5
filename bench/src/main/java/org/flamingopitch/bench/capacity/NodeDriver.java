package org.flamingopitch.bench.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.flamingopitch.bench.takeover.MemoryStore;
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

/** Drives one core with a store and workers that answer at once; time is advanced by hand. */
final class NodeDriver {

    private static final Duration TICK = Duration.ofMillis(10);

    private final MemoryStore store = new MemoryStore();

    private final SchedulerNode node;

    private final Deque<NodeEvent> pending = new ArrayDeque<>();

    private final Map<WorkerId, List<TaskReport>> tasks = new HashMap<>();

    private Instant now = Instant.parse("2026-01-05T06:00:00Z");

    private long pendingWatch = -1;

    private long workerCalls;

    private long reportedTasks;

    private long answers;

    private long lastCaller;

    NodeDriver(Configuration configuration, String dataCentre, String region) {
        Member self = new Member(new ProcessId("bench.1"), dataCentre, region, "127.0.0.1:1", false);
        node = new SchedulerNode(
                NodeSettings.defaults(self, 1), text -> JsonCodec.json().decode(text, Configuration.class));
        run(node.start(now));
        String document = JsonCodec.json().encode(configuration);
        ask(new CallerRequest.ProposeConfig(document, 0, "bench"));
    }

    void ask(CallerRequest request) {
        lastCaller++;
        apply(new NodeEvent.CallerAsked(lastCaller, request));
    }

    /** Lets time pass in ticks of the daemon's length. */
    void advance(Duration duration) {
        for (Duration passed = Duration.ZERO; passed.compareTo(duration) < 0; passed = passed.plus(TICK)) {
            now = now.plus(TICK);
            store.advance(TICK);
            store.model().expire(now);
            answerWatch();
            apply(new NodeEvent.Tick());
        }
    }

    long workerCalls() {
        return workerCalls;
    }

    long reportedTasks() {
        return reportedTasks;
    }

    long answers() {
        return answers;
    }

    SchedulerNode node() {
        return node;
    }

    MemoryStore store() {
        return store;
    }

    private void apply(NodeEvent event) {
        pending.add(event);
        while (!pending.isEmpty()) {
            run(node.apply(now, pending.poll()));
        }
    }

    private void run(List<NodeEffect> effects) {
        effects.forEach(this::run);
    }

    private void run(NodeEffect effect) {
        if (effect instanceof NodeEffect.CallWorker call) {
            workerCalls++;
            pending.add(new NodeEvent.WorkerAnswered(call.call(), answer(call)));
        } else if (effect instanceof NodeEffect.CallKeyValue call) {
            callStore(call);
        } else if (effect instanceof NodeEffect.AnswerCaller) {
            answers++;
        }
    }

    private void callStore(NodeEffect.CallKeyValue call) {
        if (call.request() instanceof KeyValueRequest.Watch) {
            pendingWatch = call.call();
            return;
        }
        if (call.request() instanceof KeyValueRequest.GrantLease grant) {
            String lease = store.model().grant(now, grant.timeToLive());
            pending.add(new NodeEvent.KeyValueAnswered(call.call(), new KeyValueResult.Leased(lease)));
            return;
        }
        if (call.request() instanceof KeyValueRequest.RenewLease renew) {
            store.model().renew(now, renew.leaseId());
            pending.add(new NodeEvent.KeyValueAnswered(call.call(), new KeyValueResult.Leased(renew.leaseId())));
            return;
        }
        store.callStore(call.request(), result -> pending.add(new NodeEvent.KeyValueAnswered(call.call(), result)));
    }

    private void answerWatch() {
        if (pendingWatch < 0) {
            return;
        }
        long call = pendingWatch;
        pendingWatch = -1;
        KeyValueRequest.ListPrefix list = new KeyValueRequest.ListPrefix("flamingopitch/followed/");
        store.callStore(list, result -> apply(new NodeEvent.KeyValueAnswered(call, result)));
    }

    private WorkerResult answer(NodeEffect.CallWorker call) {
        WorkerId worker = call.worker().name();
        if (call.request() instanceof WorkerRequest.Execute) {
            return new WorkerResult.Executed(Payload.ofText("{\"answer\":1}"));
        }
        if (call.request() instanceof WorkerRequest.StartTask start) {
            tasks.computeIfAbsent(worker, each -> new ArrayList<>())
                    .add(new TaskReport(
                            start.task(), start.kind(), start.size(), TaskPhase.RUNNING, "", Payload.EMPTY));
            return new WorkerResult.TaskStarted();
        }
        List<TaskReport> reported = tasks.getOrDefault(worker, List.of());
        reportedTasks += reported.size();
        return new WorkerResult.Reported(
                List.copyOf(reported), List.of(), 2, new UsageReport(Resources.NONE, Duration.ofSeconds(1)));
    }
}
