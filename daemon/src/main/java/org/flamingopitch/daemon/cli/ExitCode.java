package org.flamingopitch.daemon.cli;

/** The exit codes of all commands. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The command line is invalid. */
    USAGE(2),
    /** The settings or the configuration are invalid or cannot be read. */
    INVALID_DOCUMENT(3),
    /** The process cannot start, for instance because a port is in use. */
    CANNOT_START(4),
    /** The entry host answered with an error status. */
    REFUSED(5),
    /** The entry host could not be reached or did not answer completely. */
    NO_ANSWER(6),
    /** The process failed after it had started. */
    FAILED(70);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the status
     */
    public int code() {
        return code;
    }
}
