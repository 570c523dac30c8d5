package org.flamingopitch.daemon.analysis;

import java.util.Locale;
import java.util.Optional;

/** A property by which jobs and events are grouped. */
public enum Dimension {
    /** The job's queue. */
    QUEUE,
    /** The job's size class. */
    SIZE,
    /** The data centre of the host that took the job's request. */
    DATA_CENTRE,
    /** The window of 2 s in which an event was logged. */
    WINDOW;

    /**
     * Finds a dimension by its label.
     *
     * @param label the label, as on the command line
     * @return the dimension, or empty if there is none with this label
     */
    public static Optional<Dimension> find(String label) {
        for (Dimension dimension : values()) {
            if (dimension.label().equals(label)) {
                return Optional.of(dimension);
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the name that is used on the command line and in reports.
     *
     * @return the constant name in lower case, with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
