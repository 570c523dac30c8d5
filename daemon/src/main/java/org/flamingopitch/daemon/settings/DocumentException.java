package org.flamingopitch.daemon.settings;

import java.util.List;

/** A document that is not valid; names every problem. */
public final class DocumentException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param document the document's name
     * @param problems the problems, each with its place
     */
    public DocumentException(String document, List<String> problems) {
        super(document + ": " + String.join("; ", problems));
    }
}
