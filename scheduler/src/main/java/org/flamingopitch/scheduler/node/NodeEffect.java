package org.flamingopitch.scheduler.node;

import java.time.Instant;
import java.util.List;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueRequest;
import org.flamingopitch.coordination.membership.Member;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.model.WorkerId;
import org.flamingopitch.scheduler.model.WorkerSpec;
import org.flamingopitch.scheduler.worker.WorkerRequest;

/** An action that the core of an entry host requests and that the process's adapters carry out. */
public sealed interface NodeEffect {

    /**
     * Calls the key-value service.
     *
     * @param call the call's number, which the answering event repeats
     * @param request the request
     */
    record CallKeyValue(long call, KeyValueRequest request) implements NodeEffect {}

    /**
     * Calls a worker. The adapter compares the clock with {@code notAfter} again just before it writes.
     *
     * @param call the call's number, which the answering event repeats
     * @param worker the worker
     * @param request the request
     * @param notAfter the time after which the call must not be written to the connection
     */
    record CallWorker(long call, WorkerSpec worker, WorkerRequest request, Instant notAfter) implements NodeEffect {}

    /**
     * Closes the connections to a worker.
     *
     * @param worker the worker
     */
    record ReleaseWorker(WorkerId worker) implements NodeEffect {}

    /**
     * Sends a message to another process.
     *
     * @param to the process
     * @param message the message
     */
    record SendPeer(ProcessId to, PeerMessage message) implements NodeEffect {}

    /**
     * Replaces the list of processes to which connections are kept open.
     *
     * @param peers the processes
     */
    record ConnectPeers(List<Member> peers) implements NodeEffect {}

    /**
     * Answers a caller or an operator.
     *
     * @param caller the call's number, from {@link NodeEvent.CallerAsked}
     * @param answer the answer
     */
    record AnswerCaller(long caller, CallerAnswer answer) implements NodeEffect {}

    /**
     * Writes an entry to the audit log.
     *
     * @param event the entry
     */
    record RecordAudit(AuditEvent event) implements NodeEffect {}

    /** The shutdown is complete; the process may exit. */
    record Drained() implements NodeEffect {}
}
