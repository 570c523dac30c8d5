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

/** A JSON Schema of the product, and the check of documents against it. */
final class DocumentSchema {

    private static final int MAX_EDITS = 4;

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
     * Reads a document and checks it.
     *
     * @param name the document's name for errors
     * @param text the document
     * @return the document
     * @throws DocumentException if it is not valid
     */
    JsonNode read(String name, String text) {
        JsonNode document;
        try {
            document = JsonCodec.json().mapper().readTree(text);
        } catch (JsonProcessingException e) {
            String place = "line " + e.getLocation().getLineNr() + ", column "
                    + e.getLocation().getColumnNr();
            throw new DocumentException(name, List.of(place + ": " + e.getOriginalMessage()));
        }
        if (document.isMissingNode()) {
            throw new DocumentException(name, List.of("the document is empty"));
        }
        List<String> problems = new ArrayList<>();
        for (Error error : schema.validate(document)) {
            problems.add(describe(error));
        }
        if (!problems.isEmpty()) {
            throw new DocumentException(name, problems);
        }
        return document;
    }

    private static String describe(Error error) {
        String pointer = error.getInstanceLocation().toString();
        String text = pointer + ": " + error.getMessage();
        return nearestName(error)
                .map(name -> text + " (did you mean \"" + name + "\"?)")
                .orElse(text);
    }

    private static Optional<String> nearestName(Error error) {
        if (!"additionalProperties".equals(error.getKeyword()) || error.getProperty() == null) {
            return Optional.empty();
        }
        JsonNode allowed = allowedProperties(error);
        LevenshteinDistance distance = new LevenshteinDistance(MAX_EDITS);
        String nearest = null;
        int best = MAX_EDITS + 1;
        Iterator<String> names = allowed.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            int edits = distance.apply(name, error.getProperty());
            if (edits >= 0 && edits < best) {
                best = edits;
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
