package org.flamingopitch.coordination.supervisor;

/** A component of a process that is started and stopped, usually by a {@link Supervisor}. */
public interface Service {

    /**
     * Returns the name under which failures are reported.
     *
     * @return the name
     */
    String name();

    /** Starts the service; throws an unchecked exception if the start fails. */
    void start();

    /** Stops the service and releases its resources; does nothing if it is not running. */
    void stop();
}
