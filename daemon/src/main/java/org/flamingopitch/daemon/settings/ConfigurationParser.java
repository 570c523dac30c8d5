package org.flamingopitch.daemon.settings;

import java.util.List;
import org.flamingopitch.coordination.api.JsonCodec;
import org.flamingopitch.scheduler.model.Configuration;
import org.flamingopitch.scheduler.model.ConfigurationValidator;

/** Parses and validates a configuration: the inventory of data centres and workers, and the rules for work. */
public final class ConfigurationParser {

    private static final DocumentSchema SCHEMA = new DocumentSchema("configuration.schema.json");

    private ConfigurationParser() {}

    /**
     * Parses and validates a configuration; errors call the document "configuration".
     *
     * @param text the JSON document
     * @return the configuration
     * @throws InvalidDocumentException if the document is malformed or violates the schema or a rule across fields
     */
    public static Configuration parse(String text) {
        return parse("configuration", text);
    }

    /**
     * Parses and validates a configuration.
     *
     * @param name the name of the document in error messages
     * @param text the JSON document
     * @return the configuration
     * @throws InvalidDocumentException if the document is malformed or violates the schema or a rule across fields
     */
    public static Configuration parse(String name, String text) {
        SCHEMA.parseAndValidate(name, text);
        Configuration configuration = JsonCodec.json().decode(text, Configuration.class);
        List<String> problems = ConfigurationValidator.findProblems(configuration);
        if (!problems.isEmpty()) {
            throw new InvalidDocumentException(name, problems);
        }
        return configuration;
    }
}
