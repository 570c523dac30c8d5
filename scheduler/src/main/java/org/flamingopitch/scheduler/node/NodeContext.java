package org.flamingopitch.scheduler.node;

import java.util.random.RandomGenerator;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.worker.WorkerPort;

/** The clock, timers, random numbers and output channels that are available to the parts of an entry host's core. */
public interface NodeContext extends LoopContext, WorkerPort {

    /**
     * Returns the id of this process.
     *
     * @return the process id
     */
    ProcessId self();

    /**
     * Sends a message to another process.
     *
     * @param to the receiving process
     * @param message the message
     */
    void send(ProcessId to, PeerMessage message);

    /**
     * Writes an entry to the audit log.
     *
     * @param type the kind of change
     * @param subject the name of the partition, job, worker or process that changed
     * @param detail the new state and the cause, for operators
     */
    void audit(AuditType type, String subject, String detail);

    /**
     * Returns the random number generator of this process, which is seeded so that a run can be repeated.
     *
     * @return the generator
     */
    RandomGenerator random();
}
