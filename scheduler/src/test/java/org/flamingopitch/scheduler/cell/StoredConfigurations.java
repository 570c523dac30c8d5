package org.flamingopitch.scheduler.cell;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.flamingopitch.scheduler.cell.model.CellConfiguration;
import org.flamingopitch.scheduler.cell.port.ConfigurationSource;

/** The configuration in the store of a simulated cell, by its version. */
final class StoredConfigurations implements ConfigurationSource {

    private final Map<String, CellConfiguration> configurations = new HashMap<>();

    /** Stores a configuration, which hosts then read in a takeover; it reaches no host by itself. */
    void publish(FakeStore store, CellConfiguration configuration) {
        String value = Long.toString(configuration.version());
        configurations.put(value, configuration);
        store.write(key(), value);
    }

    @Override
    public String key() {
        return "configuration";
    }

    @Override
    public Optional<CellConfiguration> decode(String value) {
        return Optional.ofNullable(configurations.get(value));
    }
}
