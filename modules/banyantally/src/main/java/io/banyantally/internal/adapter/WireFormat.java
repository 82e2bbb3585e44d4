package io.banyantally.internal.adapter;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.List;

/** Encodes and decodes the JSON of the adapters and the stand-ins. Unknown fields are ignored. */
public final class WireFormat {

    private static final ObjectMapper MAPPER = new ObjectMapper()
            .registerModule(new Jdk8Module())
            .registerModule(new IdentifierModule())
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .configure(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES, true);

    private WireFormat() {}

    /** Encodes a record or a list of records as JSON. */
    public static byte[] encode(Object message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException failure) {
            throw new IllegalArgumentException(
                    "cannot encode " + message.getClass().getSimpleName(), failure);
        }
    }

    /**
     * Decodes a record from JSON.
     *
     * @throws IOException if the bytes are not the JSON of such a record
     */
    public static <T> T decode(byte[] bytes, Class<T> type) throws IOException {
        return decode(bytes, 0, bytes.length, type);
    }

    /** Decodes a record from a part of an array. */
    static <T> T decode(byte[] bytes, int offset, int length, Class<T> type) throws IOException {
        T message = MAPPER.readValue(bytes, offset, length, type);
        if (message == null) {
            throw new IOException("expected " + type.getSimpleName() + ", found null");
        }
        return message;
    }

    /**
     * Decodes a list of records from JSON.
     *
     * @throws IOException if the bytes are not the JSON of such a list
     */
    public static <T> List<T> decodeList(byte[] bytes, Class<T> element) throws IOException {
        List<T> messages =
                MAPPER.readValue(bytes, MAPPER.getTypeFactory().constructCollectionType(List.class, element));
        if (messages == null) {
            throw new IOException("expected a list of " + element.getSimpleName() + ", found null");
        }
        return messages;
    }
}
