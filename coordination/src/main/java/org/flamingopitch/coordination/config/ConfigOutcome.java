package org.flamingopitch.coordination.config;

import org.flamingopitch.coordination.api.Failure;

/** What became of a proposed configuration. */
public sealed interface ConfigOutcome {

    /**
     * The configuration was accepted.
     *
     * @param version its version
     */
    record Accepted(long version) implements ConfigOutcome {}

    /**
     * Another change came first; nothing was changed.
     *
     * @param currentVersion the version in force
     */
    record VersionConflict(long currentVersion) implements ConfigOutcome {}

    /**
     * The document is not valid; nothing was changed.
     *
     * @param reason what is wrong
     */
    record Invalid(String reason) implements ConfigOutcome {}

    /**
     * The store gave no certain answer; the history tells whether the change was accepted.
     *
     * @param failure the step and peer
     */
    record Undecided(Failure failure) implements ConfigOutcome {}
}
