package org.flamingopitch.soak;

import java.util.SplittableRandom;

/**
 * The identifier of a job, chosen by its caller.
 *
 * @param text 16 hexadecimal digits
 */
record JobId(String text) {

    static JobId next(SplittableRandom random) {
        return new JobId(String.format("%016x", random.nextLong()));
    }
}
