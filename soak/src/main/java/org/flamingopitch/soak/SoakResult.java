package org.flamingopitch.soak;

import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What one seed has shown.
 *
 * @param seed the seed
 * @param starts how many runs have begun
 * @param ends how many runs have ended
 * @param faults how many faults of each kind were injected
 * @param broken the broken rules in the order in which they were seen
 * @param directory where its logs are
 */
record SoakResult(
        long seed, int starts, int ends, Map<FaultKind, Integer> faults, List<BrokenRule> broken, Path directory) {

    boolean passed() {
        return broken.isEmpty();
    }

    /** Returns the line that is printed for the seed. */
    String line() {
        StringBuilder line = new StringBuilder("seed " + seed + " starts " + starts + " ends " + ends + " faults");
        faults.forEach((kind, count) -> line.append(' ')
                .append(kind.name().toLowerCase(Locale.ROOT))
                .append('=')
                .append(count));
        line.append(" broken ").append(broken.size());
        if (!passed()) {
            line.append(": ")
                    .append(broken.get(0).rule())
                    .append(' ')
                    .append(broken.get(0).detail())
                    .append("; logs: ")
                    .append(directory);
        }
        return line.toString();
    }
}
