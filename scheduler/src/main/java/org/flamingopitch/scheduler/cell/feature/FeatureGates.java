package org.flamingopitch.scheduler.cell.feature;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/** Which decision mechanisms are on. */
public final class FeatureGates {

    /** All mechanisms are on. */
    public static final FeatureGates ALL_ON = new FeatureGates(EnumSet.noneOf(FeatureGate.class));

    private final Set<FeatureGate> off;

    private FeatureGates(Set<FeatureGate> off) {
        this.off = off;
    }

    /**
     * Returns gates of which some are off.
     *
     * @param first a gate that is off
     * @param others further gates that are off
     * @return the gates
     */
    public static FeatureGates without(FeatureGate first, FeatureGate... others) {
        return new FeatureGates(EnumSet.of(first, others));
    }

    /**
     * Reads a list like {@code copies=false,admission=true}.
     *
     * @param text the list; gates that it does not name are on
     * @return the gates
     * @throws IllegalArgumentException if an entry names no gate, is named twice, or its value is neither true nor false
     */
    public static FeatureGates parse(String text) {
        Set<FeatureGate> named = EnumSet.noneOf(FeatureGate.class);
        Set<FeatureGate> off = EnumSet.noneOf(FeatureGate.class);
        for (String entry : text.split(",", -1)) {
            String[] parts = entry.split("=", -1);
            if (parts.length != 2 || !parts[1].equals("true") && !parts[1].equals("false")) {
                throw new IllegalArgumentException("feature gate \"" + entry + "\" is not NAME=true or NAME=false");
            }
            FeatureGate gate = gate(parts[0]);
            if (!named.add(gate)) {
                throw new IllegalArgumentException("feature gate " + parts[0] + " is named twice");
            }
            if (parts[1].equals("false")) {
                off.add(gate);
            }
        }
        return new FeatureGates(off);
    }

    /**
     * Describes all gates for the help of a command.
     *
     * @return each gate's name and summary
     */
    public static String describe() {
        return String.join(
                "; ",
                Stream.of(FeatureGate.values())
                        .map(gate -> gate.label() + " (" + gate.summary() + ")")
                        .toList());
    }

    private static FeatureGate gate(String label) {
        List<String> labels =
                Stream.of(FeatureGate.values()).map(FeatureGate::label).toList();
        int index = labels.indexOf(label);
        if (index < 0) {
            throw new IllegalArgumentException("unknown feature gate \"" + label + "\", known are " + labels);
        }
        return FeatureGate.values()[index];
    }

    /**
     * Returns whether a mechanism is on.
     *
     * @param gate its gate
     * @return whether it is on
     */
    public boolean on(FeatureGate gate) {
        return !off.contains(gate);
    }

    /** Returns the gates that are off, as a value of a log line. */
    @Override
    public String toString() {
        return off.isEmpty()
                ? "none"
                : String.join(",", off.stream().map(FeatureGate::label).toList());
    }
}
