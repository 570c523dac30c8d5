package org.flamingopitch.coordination.api;

/** Validation that the id types share. */
public final class Ids {

    private Ids() {}

    /**
     * Throws an exception if the text of an id is missing or blank.
     *
     * @param name the kind of id, used in the error message
     * @param value the id's text
     * @throws IllegalArgumentException if the text is missing or blank
     */
    public static void requireText(String name, String value) {
        if (value == null || value.isBlank()) {
            throw new IllegalArgumentException(name + " must not be blank");
        }
    }
}
