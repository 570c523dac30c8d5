package org.flamingopitch.daemon.cli;

/** The command line is wrong. */
public final class UsageException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what is wrong
     */
    public UsageException(String message) {
        super(message);
    }
}
