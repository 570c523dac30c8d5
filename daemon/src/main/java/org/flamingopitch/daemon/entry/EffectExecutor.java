package org.flamingopitch.daemon.entry;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.flamingopitch.coordination.api.TimeSource;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.daemon.platform.HttpKeyValueClient;
import org.flamingopitch.daemon.platform.HttpWorkerClient;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.node.NodeEffect;
import org.flamingopitch.scheduler.node.NodeEvent;
import org.flamingopitch.transport.http.HostPort;
import org.flamingopitch.transport.peer.PeerAddress;
import org.flamingopitch.transport.peer.PeerTransport;

/** Executes the effects that the core returns: calls, messages, answers and audit events. No effect blocks the loop. */
final class EffectExecutor {

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final TimeSource clock;

    private final HttpKeyValueClient store;

    private final HttpWorkerClient workers;

    private final PeerTransport<PeerMessage> peerTransport;

    private final PendingCalls pendingCalls;

    private final AuditLog auditLog;

    private final EntryMetrics metrics;

    private final Consumer<NodeEvent> core;

    private final Runnable onDrained;

    EffectExecutor(
            TimeSource clock,
            HttpKeyValueClient store,
            HttpWorkerClient workers,
            PeerTransport<PeerMessage> peerTransport,
            PendingCalls pendingCalls,
            AuditLog auditLog,
            EntryMetrics metrics,
            Consumer<NodeEvent> core,
            Runnable onDrained) {
        this.clock = clock;
        this.store = store;
        this.workers = workers;
        this.peerTransport = peerTransport;
        this.pendingCalls = pendingCalls;
        this.auditLog = auditLog;
        this.metrics = metrics;
        this.core = core;
        this.onDrained = onDrained;
    }

    void execute(List<NodeEffect> effects) {
        effects.forEach(this::execute);
    }

    private void execute(NodeEffect effect) {
        if (effect instanceof NodeEffect.CallWorker call) {
            metrics.recordWorkerCall(call.request().getClass().getSimpleName());
            workers.call(
                    call.worker(),
                    call.request(),
                    call.notAfter(),
                    result -> core.accept(new NodeEvent.WorkerAnswered(call.call(), result)));
        } else if (effect instanceof NodeEffect.SendPeer send) {
            metrics.recordPeerMessage(send.message().getClass().getSimpleName());
            peerTransport.send(send.to(), send.message());
        } else if (effect instanceof NodeEffect.AnswerCaller answer) {
            pendingCalls.answer(answer.caller(), answer.answer());
        } else if (effect instanceof NodeEffect.CallKeyValue call) {
            metrics.recordStoreCall(call.request().getClass().getSimpleName());
            store.call(call.request(), result -> core.accept(new NodeEvent.KeyValueAnswered(call.call(), result)));
        } else if (effect instanceof NodeEffect.ConnectPeers connect) {
            peerTransport.connectTo(connect.peers().stream()
                    .flatMap(member -> address(member).stream())
                    .toList());
        } else if (effect instanceof NodeEffect.ReleaseWorker release) {
            workers.release(release.worker());
        } else if (effect instanceof NodeEffect.RecordAudit record) {
            auditLog.record(clock.now(), record.event());
        } else if (effect instanceof NodeEffect.Drained) {
            onDrained.run();
        }
    }

    /** Returns the address of a member; one that cannot be read must not end this process. */
    static Optional<PeerAddress> address(Member member) {
        try {
            return Optional.of(new PeerAddress(member.id(), HostPort.parse(member.peerAddress())));
        } catch (IllegalArgumentException e) {
            LOGGER.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
                    "event=peer_address_unreadable peer=%s detail=\"%s\"", member.id(), e.getMessage());
            return Optional.empty();
        }
    }
}
