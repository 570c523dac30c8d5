package org.flamingopitch.coordination.supervisor;

/** Something that is started and stopped. */
public interface Service {

    /**
     * Returns the name under which failures are reported.
     *
     * @return the name
     */
    String name();

    /** Starts the service; throws an unchecked exception if it cannot. */
    void start();

    /** Stops the service and frees what it holds; does nothing if it is not running. */
    void stop();
}
