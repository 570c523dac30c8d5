package org.flamingopitch.coordination.api;

/**
 * An error of a call to another process, with the step and the peer at which it occurred.
 *
 * @param step the processing step, for example {@code worker.execute}
 * @param peer the name or address of the called process
 * @param detail a description of the error
 */
public record Failure(String step, String peer, String detail) {

    /**
     * Returns this failure with a further detail.
     *
     * @param further the further detail
     * @return the failure
     */
    public Failure withDetail(String further) {
        return new Failure(step, peer, detail + "; " + further);
    }

    @Override
    public String toString() {
        return "step=" + step + " peer=" + peer + " detail=\"" + detail.replace('"', '\'') + '"';
    }
}
