package org.flamingopitch.coordination.api;

/**
 * Says at which step and with which peer an error arose.
 *
 * @param step the step, for example {@code worker.execute}
 * @param peer the peer's name or address
 * @param detail what happened
 */
public record Failure(String step, String peer, String detail) {

    @Override
    public String toString() {
        return "step=" + step + " peer=" + peer + " detail=\"" + detail.replace('"', '\'') + '"';
    }
}
