package org.flamingopitch.daemon.settings;

import java.util.List;

/** Thrown if a settings or configuration document is invalid; the message lists every problem. */
public final class InvalidDocumentException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param document the name of the document, usually its path
     * @param problems the problems, each with its position in the document if it has one
     */
    public InvalidDocumentException(String document, List<String> problems) {
        super(document + ": " + String.join("; ", problems));
    }
}
