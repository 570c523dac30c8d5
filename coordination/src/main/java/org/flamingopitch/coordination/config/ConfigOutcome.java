package org.flamingopitch.coordination.config;

import org.flamingopitch.coordination.api.Failure;

/** The outcome of a proposed change of the configuration. */
public sealed interface ConfigOutcome {

    /**
     * The configuration was accepted.
     *
     * @param version the version of the accepted configuration
     */
    record Accepted(long version) implements ConfigOutcome {}

    /**
     * The proposal is based on another version than the current one; nothing was changed.
     *
     * @param currentVersion the version in force
     */
    record VersionConflict(long currentVersion) implements ConfigOutcome {}

    /**
     * The document is invalid; nothing was changed.
     *
     * @param reason the error message of the parser
     */
    record Invalid(String reason) implements ConfigOutcome {}

    /**
     * The key-value store did not confirm or reject the change; the history shows whether it was accepted.
     *
     * @param failure the error
     */
    record Undecided(Failure failure) implements ConfigOutcome {}
}
