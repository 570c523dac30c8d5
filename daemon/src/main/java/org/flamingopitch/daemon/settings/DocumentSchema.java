package org.flamingopitch.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.networknt.schema.Error;
import com.networknt.schema.InputFormat;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.text.similarity.LevenshteinDistance;
import org.flamingopitch.coordination.api.JsonCodec;

/** Parses JSON documents and validates them against a JSON Schema from the class path. */
final class DocumentSchema {

    /** Greatest edit distance at which a known property is suggested for an unknown one. */
    private static final int MAX_EDIT_DISTANCE = 4;

    private final Schema schema;

    DocumentSchema(String resource) {
        try (InputStream stream = DocumentSchema.class.getResourceAsStream("/org/flamingopitch/daemon/" + resource)) {
            SchemaRegistry registry = SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12);
            schema = registry.getSchema(stream, InputFormat.JSON);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Parses a document and validates it against the schema.
     *
     * @param name the name of the document in error messages
     * @param text the JSON document
     * @return the parsed document
     * @throws InvalidDocumentException if the document is malformed, empty, or violates the schema
     */
    JsonNode parseAndValidate(String name, String text) {
        JsonNode document;
        try {
            document = JsonCodec.json().mapper().readTree(text);
        } catch (JsonProcessingException e) {
            String position = "line " + e.getLocation().getLineNr() + ", column "
                    + e.getLocation().getColumnNr();
            throw new InvalidDocumentException(name, List.of(position + ": " + e.getOriginalMessage()));
        }
        if (document.isMissingNode()) {
            throw new InvalidDocumentException(name, List.of("the document is empty"));
        }
        List<String> problems = new ArrayList<>();
        for (Error error : schema.validate(document)) {
            problems.add(formatProblem(error));
        }
        if (!problems.isEmpty()) {
            throw new InvalidDocumentException(name, problems);
        }
        return document;
    }

    private static String formatProblem(Error error) {
        String pointer = error.getInstanceLocation().toString();
        String text = pointer + ": " + error.getMessage();
        return nearestProperty(error)
                .map(property -> text + " (did you mean \"" + property + "\"?)")
                .orElse(text);
    }

    private static Optional<String> nearestProperty(Error error) {
        if (!"additionalProperties".equals(error.getKeyword()) || error.getProperty() == null) {
            return Optional.empty();
        }
        JsonNode allowed = allowedProperties(error);
        LevenshteinDistance levenshtein = new LevenshteinDistance(MAX_EDIT_DISTANCE);
        String nearest = null;
        int smallestDistance = MAX_EDIT_DISTANCE + 1;
        Iterator<String> names = allowed.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            int distance = levenshtein.apply(name, error.getProperty());
            if (distance >= 0 && distance < smallestDistance) {
                smallestDistance = distance;
                nearest = name;
            }
        }
        return Optional.ofNullable(nearest);
    }

    private static JsonNode allowedProperties(Error error) {
        JsonNode node = error.getSchemaNode();
        JsonNode properties = node == null ? null : node.get("properties");
        return properties == null ? JsonCodec.json().mapper().createObjectNode() : properties;
    }
}
