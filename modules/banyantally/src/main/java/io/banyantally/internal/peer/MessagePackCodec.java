package io.banyantally.internal.peer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes records as MessagePack. Unknown fields are ignored, so that two versions of the system can communicate
 * during a rolling update.
 */
public final class MessagePackCodec<T> {

    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory())
            .registerModule(new Jdk8Module())
            .configure(com.fasterxml.jackson.databind.DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private final Class<T> type;

    private MessagePackCodec(Class<T> type) {
        this.type = type;
    }

    /** Returns the codec of a record type. */
    public static <T> MessagePackCodec<T> of(Class<T> type) {
        return new MessagePackCodec<>(type);
    }

    /** Encodes a message. */
    public byte[] encode(T message) {
        try {
            return MAPPER.writeValueAsBytes(message);
        } catch (JsonProcessingException failure) {
            throw new IllegalArgumentException("cannot encode " + type.getSimpleName() + " " + message, failure);
        }
    }

    /**
     * Decodes a message.
     *
     * @throws PeerException if the bytes do not encode a message of this type
     */
    public T decode(byte[] bytes) throws PeerException {
        try {
            return MAPPER.readValue(bytes, type);
        } catch (IOException failure) {
            throw new PeerException(
                    "cannot decode " + type.getSimpleName() + " from " + bytes.length + " bytes", failure);
        }
    }
}
