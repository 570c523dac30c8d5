package org.flamingopitch.soak;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;

/** Reads and writes JSON bodies. */
final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Json() {}

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    static JsonNode read(byte[] body) throws IOException {
        return body.length == 0 ? object() : MAPPER.readTree(body);
    }

    static JsonNode read(InputStream in) throws IOException {
        return MAPPER.readTree(in);
    }
}
