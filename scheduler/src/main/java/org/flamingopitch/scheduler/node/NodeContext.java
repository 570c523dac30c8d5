package org.flamingopitch.scheduler.node;

import java.util.random.RandomGenerator;
import org.flamingopitch.coordination.api.LoopContext;
import org.flamingopitch.coordination.api.ProcessId;
import org.flamingopitch.scheduler.message.PeerMessage;
import org.flamingopitch.scheduler.worker.WorkerPort;

/** What the parts of an entry host's core may use. */
public interface NodeContext extends LoopContext, WorkerPort {

    /**
     * Returns this process.
     *
     * @return its id
     */
    ProcessId self();

    /**
     * Sends a message to another process.
     *
     * @param to the process
     * @param message the message
     */
    void send(ProcessId to, PeerMessage message);

    /**
     * Records a change.
     *
     * @param type what kind of change
     * @param subject what changed
     * @param detail how and why
     */
    void audit(AuditType type, String subject, String detail);

    /**
     * Returns the random numbers of this process.
     *
     * @return a seeded generator
     */
    RandomGenerator random();
}
