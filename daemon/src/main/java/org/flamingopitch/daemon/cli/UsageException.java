package org.flamingopitch.daemon.cli;

/** Thrown if the command line is invalid. */
public final class UsageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the option or argument that is missing or invalid
     */
    public UsageException(String message) {
        super(message);
    }
}
