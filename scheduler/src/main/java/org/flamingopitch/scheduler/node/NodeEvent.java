package org.flamingopitch.scheduler.node;

import java.util.List;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.worker.HostStatus;
import org.flamingopitch.scheduler.worker.WorkerResult;

/** Something that happened to an entry host. */
public sealed interface NodeEvent {

    /** Time has passed. */
    record Tick() implements NodeEvent {}

    /**
     * The key-value service answered, or did not.
     *
     * @param call the call's number
     * @param result the result
     */
    record KeyValueAnswered(long call, KeyValueResult result) implements NodeEvent {}

    /**
     * A worker answered, or did not.
     *
     * @param call the call's number
     * @param result the result
     */
    record WorkerAnswered(long call, WorkerResult result) implements NodeEvent {}

    /**
     * A message of another process arrived.
     *
     * @param from the sender
     * @param message the message
     */
    record PeerReceived(ProcessId from, PeerMessage message) implements NodeEvent {}

    /**
     * The connection to another process came up.
     *
     * @param peer the process
     */
    record PeerConnected(ProcessId peer) implements NodeEvent {}

    /**
     * The connection to another process was lost, with any messages under way.
     *
     * @param peer the process
     */
    record PeerLost(ProcessId peer) implements NodeEvent {}

    /**
     * Another process has ended: its host refuses connections to its port.
     *
     * @param peer the process
     */
    record PeerGone(ProcessId peer) implements NodeEvent {}

    /**
     * A caller or an operator asks something.
     *
     * @param caller names the call
     * @param request the request
     */
    record CallerAsked(long caller, CallerRequest request) implements NodeEvent {}

    /**
     * A caller went away before its answer.
     *
     * @param caller names the call
     */
    record CallerLeft(long caller) implements NodeEvent {}

    /**
     * The platform's list of hosts was read.
     *
     * @param hosts the hosts
     */
    record HostsListed(List<HostStatus> hosts) implements NodeEvent {}

    /** The process is asked to shut down. */
    record DrainAsked() implements NodeEvent {}
}
