package org.flamingopitch.coordination.api;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.jsontype.NamedType;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;

/** Encodes records as JSON, or in another format of the same library. */
public final class JsonCodec {

    private static final JsonCodec JSON = new JsonCodec(new JsonFactory());

    private static final JsonCodec COMPACT = new JsonCodec(new JsonFactory()).allowingAbsentNumbers();

    private final ObjectMapper mapper;

    /**
     * Creates a codec.
     *
     * @param factory the format
     * @param sealedTypes sealed interfaces whose records are told apart by a {@code type} property
     */
    public JsonCodec(JsonFactory factory, Class<?>... sealedTypes) {
        mapper = new ObjectMapper(factory);
        mapper.registerModule(new JavaTimeModule());
        mapper.disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS);
        mapper.disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS);
        mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
        mapper.setSerializationInclusion(JsonInclude.Include.NON_NULL);
        for (Class<?> sealedType : sealedTypes) {
            registerSealed(sealedType);
        }
    }

    /**
     * Returns the codec for plain JSON records.
     *
     * @return a shared codec
     */
    public static JsonCodec json() {
        return JSON;
    }

    /**
     * Returns the codec for JSON records that leave out numbers that are zero and flags that are not set.
     *
     * @return a shared codec
     */
    public static JsonCodec compact() {
        return COMPACT;
    }

    /**
     * Reads numbers and flags that are absent as zero and false.
     *
     * @return this codec
     */
    public JsonCodec allowingAbsentNumbers() {
        mapper.disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
        return this;
    }

    /**
     * Returns the mapper behind this codec.
     *
     * @return the mapper
     */
    public ObjectMapper mapper() {
        return mapper;
    }

    /**
     * Encodes a value as text.
     *
     * @param value the value
     * @return its text
     */
    public String encode(Object value) {
        try {
            return mapper.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "cannot encode " + value.getClass().getSimpleName(), e);
        }
    }

    /**
     * Decodes a value from text.
     *
     * @param text the text
     * @param type the value's type
     * @param <T> the value's type
     * @return the value
     * @throws IllegalArgumentException if the text does not hold such a value
     */
    public <T> T decode(String text, Class<T> type) {
        try {
            return mapper.readValue(text, type);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "cannot decode " + type.getSimpleName() + ": " + e.getOriginalMessage(), e);
        }
    }

    private void registerSealed(Class<?> sealedType) {
        mapper.addMixIn(sealedType, TypedByProperty.class);
        for (Class<?> subtype : sealedType.getPermittedSubclasses()) {
            mapper.registerSubtypes(new NamedType(subtype, subtype.getSimpleName()));
        }
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    private interface TypedByProperty {}
}
