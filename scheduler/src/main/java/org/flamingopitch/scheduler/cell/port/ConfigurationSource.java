package org.flamingopitch.scheduler.cell.port;

import java.util.Optional;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;

/** Where the platform's store holds the newest configuration. */
public interface ConfigurationSource {

    /**
     * Returns the key.
     *
     * @return the key of the configuration in the store
     */
    String key();

    /**
     * Decodes the value under the key.
     *
     * @param value the value
     * @return the configuration, or empty if it cannot be read
     */
    Optional<CellConfiguration> decode(String value);
}
