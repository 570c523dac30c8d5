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

/** Something that an entry host does. */
public sealed interface NodeEffect {

    /**
     * Calls the key-value service.
     *
     * @param call the call's number
     * @param request the request
     */
    record CallKeyValue(long call, KeyValueRequest request) implements NodeEffect {}

    /**
     * Calls a worker; the adapter checks the clock once more just before it writes.
     *
     * @param call the call's number
     * @param worker the worker
     * @param request the request
     * @param notAfter the call must not leave the process after that time
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
     * Names the processes to stay connected to.
     *
     * @param peers the processes
     */
    record ConnectPeers(List<Member> peers) implements NodeEffect {}

    /**
     * Answers a caller or an operator.
     *
     * @param caller names the call
     * @param answer the answer
     */
    record AnswerCaller(long caller, CallerAnswer answer) implements NodeEffect {}

    /**
     * Records a change that the system made.
     *
     * @param event the change
     */
    record RecordAudit(AuditEvent event) implements NodeEffect {}

    /** Nothing is left to do; the process may end. */
    record Drained() implements NodeEffect {}
}
