package org.flamingopitch.bench.compare;

import com.fasterxml.jackson.databind.JsonNode;

/** A figure of a play's report that two builds are compared by. */
enum Measure {
    /** The worth of the day, less prices. */
    WORTH("worth") {
        @Override
        double of(JsonNode report) {
            return report.path("G").asDouble();
        }
    },
    /** The worth of the two worst windows of 2 s. */
    WORST_WINDOWS("worst windows") {
        @Override
        double of(JsonNode report) {
            return part(report, "worst windows");
        }
    },
    /** The worth of the worst kind of request. */
    WORST_KIND("worst kind") {
        @Override
        double of(JsonNode report) {
            return part(report, "worst class");
        }
    },
    /** The share of the worth owed over the whole day that was earned. */
    SERVED("served") {
        @Override
        double of(JsonNode report) {
            return report.path("served").asDouble();
        }
    },
    /** The share of requests that were refused in the end. */
    REFUSED("refused") {
        @Override
        double of(JsonNode report) {
            return report.path("refused").asDouble();
        }
    },
    /** The share of requests that failed in the end. */
    FAILED("failed") {
        @Override
        double of(JsonNode report) {
            return report.path("failed").asDouble();
        }
    },
    /** Core-seconds of work that was stopped or lost and not saved. */
    THROWN_AWAY("core-s thrown away") {
        @Override
        double of(JsonNode report) {
            return row(report.path("prices"), "core-seconds of work thrown away")
                    .path(1)
                    .asDouble();
        }
    };

    private final String label;

    Measure(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }

    /** Returns the figure of a play. */
    abstract double of(JsonNode report);

    private static double part(JsonNode report, String name) {
        return row(report.path("parts"), name).path(2).asDouble();
    }

    private static JsonNode row(JsonNode rows, String name) {
        for (JsonNode row : rows) {
            if (row.path(0).asText().equals(name)) {
                return row;
            }
        }
        throw new IllegalArgumentException("the report has no row \"" + name + "\"");
    }
}
