package org.flamingopitch.scheduler.node;

import java.util.List;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.coordination.kv.KeyValueResult;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.worker.HostStatus;
import org.flamingopitch.scheduler.worker.WorkerResult;

/** An input to the core of an entry host. */
public sealed interface NodeEvent {

    /** The clock has advanced; due timers run. */
    record Tick() implements NodeEvent {}

    /**
     * A call to the key-value service has ended, with an answer or a failure.
     *
     * @param call the call's number, as in the effect
     * @param result the result
     */
    record KeyValueAnswered(long call, KeyValueResult result) implements NodeEvent {}

    /**
     * A call to a worker has ended, with an answer or a failure.
     *
     * @param call the call's number, as in the effect
     * @param result the result
     */
    record WorkerAnswered(long call, WorkerResult result) implements NodeEvent {}

    /**
     * A message from another process arrived.
     *
     * @param from the sender
     * @param message the message
     */
    record PeerReceived(ProcessId from, PeerMessage message) implements NodeEvent {}

    /**
     * The connection to another process was established.
     *
     * @param peer the process
     */
    record PeerConnected(ProcessId peer) implements NodeEvent {}

    /**
     * The connection to another process was lost. Messages in transit may be lost too.
     *
     * @param peer the process
     */
    record PeerLost(ProcessId peer) implements NodeEvent {}

    /**
     * Another process has terminated: its host refuses connections to its port.
     *
     * @param peer the process
     */
    record PeerGone(ProcessId peer) implements NodeEvent {}

    /**
     * A request from a caller or an operator arrived.
     *
     * @param caller the call's number, which the answer repeats
     * @param request the request
     */
    record CallerAsked(long caller, CallerRequest request) implements NodeEvent {}

    /**
     * A caller disconnected before it was answered.
     *
     * @param caller the call's number
     */
    record CallerLeft(long caller) implements NodeEvent {}

    /**
     * The platform's list of hosts was read again.
     *
     * @param hosts the hosts
     */
    record HostsListed(List<HostStatus> hosts) implements NodeEvent {}

    /** The process was requested to shut down. */
    record DrainAsked() implements NodeEvent {}
}
