package org.flamingopitch.daemon.settings;

import java.util.List;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.model.Configuration;
import org.flamingopitch.scheduler.model.ConfigurationCheck;

/** Parses and checks inventory and rules. */
public final class ConfigurationParser {

    private static final DocumentSchema SCHEMA = new DocumentSchema("configuration.schema.json");

    private ConfigurationParser() {}

    /**
     * Parses a configuration.
     *
     * @param text the document
     * @return the configuration
     * @throws DocumentException if the document is not valid
     */
    public static Configuration parse(String text) {
        return parse("configuration", text);
    }

    /**
     * Parses a configuration.
     *
     * @param name the document's name for errors
     * @param text the document
     * @return the configuration
     * @throws DocumentException if the document is not valid
     */
    public static Configuration parse(String name, String text) {
        SCHEMA.read(name, text);
        Configuration configuration = JsonCodec.json().decode(text, Configuration.class);
        List<String> problems = ConfigurationCheck.problems(configuration);
        if (!problems.isEmpty()) {
            throw new DocumentException(name, problems);
        }
        return configuration;
    }
}
