package org.flamingopitch.daemon.cli;

/** The exit codes of all commands. */
public enum ExitCode {
    /** It worked. */
    OK(0),
    /** The command line is wrong. */
    USAGE(2),
    /** Settings or configuration are not valid. */
    INVALID_DOCUMENT(3),
    /** The process cannot start, for instance because a port is in use. */
    CANNOT_START(4),
    /** The entry host refused. */
    REFUSED(5),
    /** The entry host did not answer. */
    NO_ANSWER(6),
    /** The process failed while it ran. */
    FAILED(70);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the number for the shell.
     *
     * @return the code
     */
    public int code() {
        return code;
    }
}
