package org.flamingopitch.coordination.api;

/** Checks that the id types share. */
public final class Ids {

    private Ids() {}

    /**
     * Refuses an id without text.
     *
     * @param name what the id names
     * @param value the id's text
     * @throws IllegalArgumentException if the text is missing or blank
     */
    public static void requireText(String name, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(name + " must not be blank");
        }
    }
}
