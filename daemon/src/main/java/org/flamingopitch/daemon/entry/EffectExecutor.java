package org.flamingopitch.daemon.entry;

import java.util.List;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.daemon.platform.HttpKeyValueClient;
import org.flamingopitch.daemon.platform.HttpWorkerClient;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.node.NodeEffect;
import org.flamingopitch.scheduler.node.NodeEvent;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.peer.PeerAddress;
import org.flamingopitch.transport.peer.PeerTransport;

/** Carries the core's effects out; none of them blocks. */
final class EffectExecutor {

    private final TimeSource clock;

    private final HttpKeyValueClient store;

    private final HttpWorkerClient workers;

    private final PeerTransport<PeerMessage> peers;

    private final CallerRegistry callers;

    private final AuditLog audit;

    private final EntryMetrics metrics;

    private final Consumer<NodeEvent> events;

    private final Runnable drained;

    EffectExecutor(
            TimeSource clock,
            HttpKeyValueClient store,
            HttpWorkerClient workers,
            PeerTransport<PeerMessage> peers,
            CallerRegistry callers,
            AuditLog audit,
            EntryMetrics metrics,
            Consumer<NodeEvent> events,
            Runnable drained) {
        this.clock = clock;
        this.store = store;
        this.workers = workers;
        this.peers = peers;
        this.callers = callers;
        this.audit = audit;
        this.metrics = metrics;
        this.events = events;
        this.drained = drained;
    }

    void execute(List<NodeEffect> effects) {
        effects.forEach(this::execute);
    }

    private void execute(NodeEffect effect) {
        if (effect instanceof NodeEffect.CallWorker call) {
            metrics.workerCalled(call.request().getClass().getSimpleName());
            workers.call(
                    call.worker(),
                    call.request(),
                    call.notAfter(),
                    result -> events.accept(new NodeEvent.WorkerAnswered(call.call(), result)));
        } else if (effect instanceof NodeEffect.SendPeer send) {
            metrics.peerMessaged(send.message().getClass().getSimpleName());
            peers.send(send.to(), send.message());
        } else if (effect instanceof NodeEffect.AnswerCaller answer) {
            callers.answer(answer.caller(), answer.answer());
        } else if (effect instanceof NodeEffect.CallKeyValue call) {
            metrics.storeCalled(call.request().getClass().getSimpleName());
            store.call(call.request(), result -> events.accept(new NodeEvent.KeyValueAnswered(call.call(), result)));
        } else if (effect instanceof NodeEffect.ConnectPeers connect) {
            peers.connectTo(connect.peers().stream()
                    .map(member -> new PeerAddress(member.id(), HostPort.parse(member.peerAddress())))
                    .toList());
        } else if (effect instanceof NodeEffect.ReleaseWorker release) {
            workers.release(release.worker());
        } else if (effect instanceof NodeEffect.RecordAudit record) {
            audit.record(clock.now(), record.event());
        } else if (effect instanceof NodeEffect.Drained) {
            drained.run();
        }
    }
}
