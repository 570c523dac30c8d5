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

/** Encodes and decodes records as JSON, or in another format that Jackson supports, such as MessagePack. */
public final class JsonCodec {

    private static final JsonCodec JSON = new JsonCodec(new JsonFactory());

    private static final JsonCodec COMPACT = new JsonCodec(new JsonFactory()).allowAbsentNumbers();

    private final ObjectMapper mapper;

    /**
     * Creates a codec.
     *
     * @param factory the Jackson factory of the format
     * @param sealedTypes sealed interfaces whose records are encoded with their simple class name in a {@code type}
     *     property
     */
    public JsonCodec(JsonFactory factory, Class<?>... sealedTypes) {
        mapper = new ObjectMapper(factory);
        mapper.registerModule(new JavaTimeModule());
        mapper.disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS);
        mapper.disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS);
        mapper.enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
        mapper.setSerializationInclusion(JsonInclude.Include.NON_NULL);
        for (Class<?> sealedType : sealedTypes) {
            registerSealedType(sealedType);
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
     * Returns the codec for JSON records whose annotations omit zero numbers and false flags; decodes absent ones as zero
     * and false.
     *
     * @return a shared codec
     */
    public static JsonCodec compact() {
        return COMPACT;
    }

    /**
     * Makes this codec decode absent numbers and flags as zero and false instead of rejecting the value.
     *
     * @return this codec
     */
    public JsonCodec allowAbsentNumbers() {
        mapper.disable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
        return this;
    }

    /**
     * Returns the Jackson mapper of this codec.
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
     * @return the encoded text
     * @throws IllegalArgumentException if the value cannot be encoded
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
     * @throws IllegalArgumentException if the text does not encode a value of the type
     */
    public <T> T decode(String text, Class<T> type) {
        try {
            T value = mapper.readValue(text, type);
            if (value == null) {
                throw new IllegalArgumentException("cannot decode " + type.getSimpleName() + ": the text is null");
            }
            return value;
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(
                    "cannot decode " + type.getSimpleName() + ": " + e.getOriginalMessage(), e);
        }
    }

    private void registerSealedType(Class<?> sealedType) {
        mapper.addMixIn(sealedType, TypePropertyMixIn.class);
        for (Class<?> subtype : sealedType.getPermittedSubclasses()) {
            mapper.registerSubtypes(new NamedType(subtype, subtype.getSimpleName()));
        }
    }

    @JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
    private interface TypePropertyMixIn {}
}
